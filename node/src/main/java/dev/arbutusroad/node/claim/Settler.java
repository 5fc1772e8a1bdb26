package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.ClaimRow;
import dev.arbutusroad.core.claim.ClaimRowJson;
import dev.arbutusroad.core.claim.ClaimRules;
import dev.arbutusroad.core.claim.ClaimState;
import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.claim.SettleStep;
import dev.arbutusroad.core.store.Write;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * Writes the final states of claims, and goes on until the store has confirmed each.
 *
 * <p>Abandoned claims are settled as {@code RELEASED} under the precondition of their claim write.
 * If the row is absent, this inserts a released row, so that a delayed claim write fails.
 */
final class Settler {
  /** Bounds the memory of a long outage; a dropped settlement leaves its row {@code STARTED}. */
  static final int MAX_WAITING = 10_000;

  /** Answers beyond this are not kept while they wait; their orders become "answer not kept". */
  static final long MAX_WAITING_ANSWER_BYTES = 16L * 1024 * 1024;

  private static final int MAX_IN_FLIGHT = 256;
  private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final GroupCommit commits;
  private final ClaimRowReader reader;
  private final EngineTimers timers;
  private final RandomGenerator random;
  private final ClaimsCounters counters;
  private final Consumer<String> settledRows;
  private final Deque<Settlement> waiting = new ArrayDeque<>();
  private int inFlight;
  private long answerBytes;
  private boolean paused;
  private long pauseNanos = MIN_PAUSE_NANOS;

  private static final class Settlement {
    private final String rowKey;
    private final ClaimRow row;
    private long expectedVersion;

    Settlement(String rowKey, ClaimRow row, long expectedVersion) {
      this.rowKey = rowKey;
      this.row = row;
      this.expectedVersion = expectedVersion;
    }

    int answerBytes() {
      return row.answer().map(RecordedAnswer::bodyLength).orElse(0);
    }
  }

  /**
   * @param settledRows is told the key of each row that is settled
   */
  Settler(
      GroupCommit commits,
      ClaimRowReader reader,
      EngineTimers timers,
      RandomGenerator random,
      ClaimsCounters counters,
      Consumer<String> settledRows) {
    this.commits = commits;
    this.reader = reader;
    this.timers = timers;
    this.random = random;
    this.counters = counters;
    this.settledRows = settledRows;
  }

  /** Settlements that the store has not confirmed. */
  int unfinished() {
    return waiting.size() + inFlight;
  }

  /**
   * Writes a final state.
   *
   * @param row the final state
   * @param expectedVersion the version in which the claim is held, or the precondition of a claim
   *     write that may still take effect
   */
  void settle(String rowKey, ClaimRow row, long expectedVersion) {
    if (waiting.size() >= MAX_WAITING) {
      Settlement dropped = waiting.poll();
      answerBytes -= dropped.answerBytes();
      counters.settlementsDropped.increment();
      Logger.warn(
          "event=claim_settlement_dropped row={} state={}", dropped.rowKey, dropped.row.state());
    }
    ClaimRow kept =
        answerBytes + row.answer().map(RecordedAnswer::bodyLength).orElse(0)
                > MAX_WAITING_ANSWER_BYTES
            ? row.settled(row.state(), Optional.empty())
            : row;
    Settlement settlement = new Settlement(rowKey, kept, expectedVersion);
    answerBytes += settlement.answerBytes();
    waiting.add(settlement);
    pump();
  }

  private void pump() {
    while (!paused && inFlight < MAX_IN_FLIGHT && !waiting.isEmpty()) {
      inFlight++;
      write(waiting.poll());
    }
  }

  private void write(Settlement settlement) {
    Write write =
        new Write(
            settlement.rowKey,
            Optional.of(ClaimRowJson.encode(settlement.row)),
            settlement.expectedVersion);
    commits.add(
        write,
        settlement.row.state() == ClaimState.RELEASED,
        () -> true,
        (outcome, version) -> {
          switch (outcome) {
            case APPLIED -> finish(settlement);
            case NOT_APPLIED -> later(settlement, true);
            case CONFLICT -> readBack(settlement);
            case LOST -> {
              counters.lostAnswers.increment();
              readBack(settlement);
            }
          }
        });
  }

  private void readBack(Settlement settlement) {
    reader.read(
        settlement.rowKey,
        result -> {
          if (result.isLeft()) {
            later(settlement, true);
            return;
          }
          SettleStep step =
              ClaimRules.afterSettleRead(settlement.row, settlement.expectedVersion, result.get());
          if (step instanceof SettleStep.Write again) {
            settlement.expectedVersion = again.expectedVersion();
            later(settlement, false);
          } else if (step instanceof SettleStep.Finished) {
            finish(settlement);
          } else {
            later(settlement, false);
          }
        });
  }

  private void finish(Settlement settlement) {
    inFlight--;
    answerBytes -= settlement.answerBytes();
    pauseNanos = MIN_PAUSE_NANOS;
    counters.settled.increment();
    settledRows.accept(settlement.rowKey);
    pump();
  }

  private void later(Settlement settlement, boolean storeFailed) {
    inFlight--;
    waiting.add(settlement);
    if (paused) {
      return;
    }
    paused = true;
    timers.after(
        pauseNanos / 2 + random.nextLong(pauseNanos / 2 + 1),
        () -> {
          paused = false;
          pump();
        });
    pauseNanos = storeFailed ? Math.min(MAX_PAUSE_NANOS, pauseNanos * 2) : MIN_PAUSE_NANOS;
  }
}
