package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Combines writes to different rows into one commit.
 *
 * <p>An urgent write waits for the end of the window that the last commit began, so a single write
 * after an idle period is sent without delay. Writes that meet a conflict are removed from the
 * commit and the rest is committed again, so a write never fails because of another write.
 */
final class GroupCommit {
  static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * The longest delay of a write that is not urgent. A delay of 20 ms puts most final states into
   * commits of their own: 500 orders a second at 16 nodes then take 634 commits a second.
   */
  static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * Bounds the size of a commit together with {@link #MAX_VALUE_CHARS}. The platform accepts 100
   * entries per commit, and each row takes two, its precondition and its value.
   */
  static final int MAX_ROWS = 48;

  static final int MAX_VALUE_CHARS = 512 * 1024;

  /** Allows further commits while a slow store has not answered the first. */
  private static final int MAX_IN_FLIGHT = 4;

  private final TableService table;
  private final EngineTimers timers;
  private final Executor owner;
  private final ClaimsCounters counters;
  private final Deque<Entry> pending = new ArrayDeque<>();
  private final Set<String> activeKeys = new HashSet<>();
  private final Map<String, Deque<Entry>> blockedByKey = new HashMap<>();
  private int commitsInFlight;
  private long lastFlushNanos;
  private boolean flushScheduled;
  private long flushAtNanos;

  /** The outcome of a write. */
  enum Outcome {
    /** The write took effect. */
    APPLIED,
    /** The store reported, correctly or not, that the precondition of the write does not hold. */
    CONFLICT,
    /** The answer was lost; the write may have taken effect or may still do so. */
    LOST,
    /** The write did not take effect and never will. */
    NOT_APPLIED
  }

  /** Receives the outcome of a write. */
  @FunctionalInterface
  interface WriteCallback {
    /**
     * Called once when the outcome of the write is known or its answer is lost.
     *
     * @param version the new version of the row if the write was applied, otherwise 0
     */
    void onOutcome(Outcome outcome, long version);
  }

  private record Entry(Write write, BooleanSupplier stillNeeded, WriteCallback callback) {}

  GroupCommit(TableService table, EngineTimers timers, Executor owner, ClaimsCounters counters) {
    this.table = table;
    this.timers = timers;
    this.owner = owner;
    this.counters = counters;
    this.lastFlushNanos = timers.now() - WINDOW_NANOS;
  }

  /**
   * Adds a write to a following commit. Writes to the same row are sent one after another.
   *
   * @param urgent whether a caller waits for the write; other writes are delayed until an urgent
   *     one is sent, at most {@link #MAX_DELAY_NANOS}
   * @param stillNeeded checked before the write is sent; if false, the write is not sent
   */
  void add(Write write, boolean urgent, BooleanSupplier stillNeeded, WriteCallback callback) {
    add(new Entry(write, stillNeeded, callback), urgent);
  }

  private void add(Entry entry, boolean urgent) {
    Write write = entry.write();
    if (!activeKeys.add(write.key())) {
      blockedByKey.computeIfAbsent(write.key(), key -> new ArrayDeque<>()).add(entry);
      return;
    }
    pending.add(entry);
    scheduleFlush(
        urgent ? Math.max(0, lastFlushNanos + WINDOW_NANOS - timers.now()) : MAX_DELAY_NANOS);
  }

  private void scheduleFlush(long delayNanos) {
    long dueNanos = timers.now() + delayNanos;
    if (flushScheduled && flushAtNanos - dueNanos <= 0) {
      return;
    }
    flushScheduled = true;
    flushAtNanos = dueNanos;
    timers.at(
        dueNanos,
        () -> {
          if (flushScheduled && flushAtNanos == dueNanos) {
            flushScheduled = false;
            flush();
          }
        });
  }

  private void flush() {
    while (!pending.isEmpty() && commitsInFlight < MAX_IN_FLIGHT) {
      List<Entry> batch = nextBatch();
      if (!batch.isEmpty()) {
        lastFlushNanos = timers.now();
        commitsInFlight++;
        send(batch);
      }
    }
  }

  private List<Entry> nextBatch() {
    List<Entry> batch = new ArrayList<>();
    int chars = 0;
    while (!pending.isEmpty() && batch.size() < MAX_ROWS) {
      if (!pending.peek().stillNeeded().getAsBoolean()) {
        complete(List.of(pending.poll()), Outcome.NOT_APPLIED, 0);
        continue;
      }
      chars += pending.peek().write().value().map(String::length).orElse(0);
      if (!batch.isEmpty() && chars > MAX_VALUE_CHARS) {
        break;
      }
      batch.add(pending.poll());
    }
    return batch;
  }

  private void send(List<Entry> batch) {
    counters.commits.increment();
    counters.commitRows.add(batch.size());
    StoreCalls.deliver(
        table.commit(batch.stream().map(Entry::write).toList()),
        owner,
        result -> onAnswer(batch, result));
  }

  private void onAnswer(List<Entry> batch, Either<Failure, CommitResult> result) {
    if (result.isLeft()) {
      boolean lost = result.getLeft().code() == ResultCode.PLATFORM_TIMEOUT;
      complete(batch, lost ? Outcome.LOST : Outcome.NOT_APPLIED, 0);
      finishCommit();
    } else if (result.get().applied()) {
      complete(batch, Outcome.APPLIED, result.get().version());
      finishCommit();
    } else {
      onConflict(batch, Set.copyOf(result.get().conflicts()));
    }
  }

  private void onConflict(List<Entry> batch, Set<String> conflicts) {
    List<Entry> conflicting = new ArrayList<>();
    List<Entry> rest = new ArrayList<>();
    for (Entry entry : batch) {
      (conflicts.contains(entry.write().key()) ? conflicting : rest).add(entry);
    }
    if (conflicting.isEmpty() && batch.size() > 1) {
      // The conflict names no row of the batch: splits the batch in two to find the row.
      int half = batch.size() / 2;
      commitsInFlight++;
      send(batch.subList(0, half));
      send(batch.subList(half, batch.size()));
      return;
    }
    counters.conflicts.add(Math.max(1, conflicting.size()));
    complete(conflicting.isEmpty() ? batch : conflicting, Outcome.CONFLICT, 0);
    if (conflicting.isEmpty() || rest.isEmpty()) {
      finishCommit();
    } else {
      send(rest);
    }
  }

  private void finishCommit() {
    commitsInFlight--;
    if (!pending.isEmpty() && !flushScheduled) {
      scheduleFlush(0);
    }
  }

  private void complete(List<Entry> entries, Outcome outcome, long version) {
    for (Entry entry : entries) {
      String key = entry.write().key();
      activeKeys.remove(key);
      Deque<Entry> waiting = blockedByKey.get(key);
      if (waiting != null) {
        Entry first = waiting.poll();
        if (waiting.isEmpty()) {
          blockedByKey.remove(key);
        }
        add(first, true);
      }
      entry.callback().onOutcome(outcome, version);
    }
  }
}
