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
 * Joins writes of different rows into one commit.
 *
 * <p>A commit is sent at most once in each window, so a lone write after a quiet time is sent
 * without delay. Writes that meet a conflict are taken out and the rest is committed again, so a
 * write never fails because of another one.
 */
final class GroupCommit {
  static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * The longest wait of a write that nobody waits for. With 20 ms, 500 orders a second at 16 nodes
   * needed 634 commits a second, as most final states made a commit of their own.
   */
  static final long RELAXED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * Bounds a commit's size together with {@link #MAX_VALUE_CHARS}: the platform takes 100 entries a
   * commit, and each row counts twice, as its precondition and as its value.
   */
  static final int MAX_ROWS = 48;

  static final int MAX_VALUE_CHARS = 512 * 1024;

  /** Lets further commits start while a slow store has not answered the first. */
  private static final int MAX_IN_FLIGHT = 4;

  private final TableService table;
  private final EngineTimers timers;
  private final Executor owner;
  private final ClaimsCounters counters;
  private final Deque<Entry> pending = new ArrayDeque<>();
  private final Set<String> busyKeys = new HashSet<>();
  private final Map<String, Deque<Entry>> blocked = new HashMap<>();
  private int inFlight;
  private long lastFlushNanos;
  private boolean flushScheduled;
  private long flushAtNanos;

  /** What became of a write. */
  enum Outcome {
    /** It took effect. */
    APPLIED,
    /** Its precondition failed, or the store says so. */
    CONFLICT,
    /** The answer was lost; it may have taken effect, or still do. */
    LOST,
    /** It did not take effect and never will. */
    NOT_APPLIED
  }

  /** Told what became of a write. */
  @FunctionalInterface
  interface WriteCallback {
    /**
     * The write has ended.
     *
     * @param version the row's version if the write was applied, else 0
     */
    void ended(Outcome outcome, long version);
  }

  private record Entry(Write write, BooleanSupplier wanted, WriteCallback callback) {}

  GroupCommit(TableService table, EngineTimers timers, Executor owner, ClaimsCounters counters) {
    this.table = table;
    this.timers = timers;
    this.owner = owner;
    this.counters = counters;
    this.lastFlushNanos = timers.now() - WINDOW_NANOS;
  }

  /**
   * Adds a write.
   *
   * @param urgent whether somebody waits for it; other writes wait for an urgent one, at most
   *     {@link #RELAXED_NANOS}
   * @param wanted whether it is still of use; asked just before it is sent
   */
  void add(Write write, boolean urgent, BooleanSupplier wanted, WriteCallback callback) {
    add(new Entry(write, wanted, callback), urgent);
  }

  private void add(Entry entry, boolean urgent) {
    Write write = entry.write();
    if (!busyKeys.add(write.key())) {
      blocked.computeIfAbsent(write.key(), key -> new ArrayDeque<>()).add(entry);
      return;
    }
    pending.add(entry);
    scheduleFlush(
        urgent ? Math.max(0, lastFlushNanos + WINDOW_NANOS - timers.now()) : RELAXED_NANOS);
  }

  private void scheduleFlush(long delayNanos) {
    long at = timers.now() + delayNanos;
    if (flushScheduled && flushAtNanos - at <= 0) {
      return;
    }
    flushScheduled = true;
    flushAtNanos = at;
    timers.at(
        at,
        () -> {
          if (flushScheduled && flushAtNanos == at) {
            flushScheduled = false;
            flush();
          }
        });
  }

  private void flush() {
    while (!pending.isEmpty() && inFlight < MAX_IN_FLIGHT) {
      List<Entry> batch = nextBatch();
      if (!batch.isEmpty()) {
        lastFlushNanos = timers.now();
        inFlight++;
        send(batch);
      }
    }
  }

  private List<Entry> nextBatch() {
    List<Entry> batch = new ArrayList<>();
    int chars = 0;
    while (!pending.isEmpty() && batch.size() < MAX_ROWS) {
      if (!pending.peek().wanted().getAsBoolean()) {
        end(List.of(pending.poll()), Outcome.NOT_APPLIED, 0);
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
    StoreCalls.onOwner(
        table.commit(batch.stream().map(Entry::write).toList()),
        owner,
        outcome -> answered(batch, outcome));
  }

  private void answered(List<Entry> batch, Either<Failure, CommitResult> outcome) {
    if (outcome.isLeft()) {
      boolean lost = outcome.getLeft().code() == ResultCode.PLATFORM_TIMEOUT;
      end(batch, lost ? Outcome.LOST : Outcome.NOT_APPLIED, 0);
      endCommit();
    } else if (outcome.get().applied()) {
      end(batch, Outcome.APPLIED, outcome.get().version());
      endCommit();
    } else {
      split(batch, Set.copyOf(outcome.get().conflicts()));
    }
  }

  private void split(List<Entry> batch, Set<String> conflicts) {
    List<Entry> refused = new ArrayList<>();
    List<Entry> rest = new ArrayList<>();
    for (Entry entry : batch) {
      (conflicts.contains(entry.write().key()) ? refused : rest).add(entry);
    }
    if (refused.isEmpty() && batch.size() > 1) {
      // The store named no row of the batch: halves find the row that it refuses.
      int half = batch.size() / 2;
      inFlight++;
      send(batch.subList(0, half));
      send(batch.subList(half, batch.size()));
      return;
    }
    counters.conflicts.add(Math.max(1, refused.size()));
    end(refused.isEmpty() ? batch : refused, Outcome.CONFLICT, 0);
    if (refused.isEmpty() || rest.isEmpty()) {
      endCommit();
    } else {
      send(rest);
    }
  }

  private void endCommit() {
    inFlight--;
    if (!pending.isEmpty() && !flushScheduled) {
      scheduleFlush(0);
    }
  }

  private void end(List<Entry> entries, Outcome outcome, long version) {
    for (Entry entry : entries) {
      String key = entry.write().key();
      busyKeys.remove(key);
      Deque<Entry> next = blocked.get(key);
      if (next != null) {
        Entry first = next.poll();
        if (next.isEmpty()) {
          blocked.remove(key);
        }
        add(first, true);
      }
      entry.callback().ended(outcome, version);
    }
  }
}
