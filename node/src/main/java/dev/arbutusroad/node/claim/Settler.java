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
 * Writes the final states of claims and retries each write until the store has confirmed it.
 *
 * <p>Abandoned claims are settled as {@code RELEASED} with the same precondition as their claim
 * write. If the row is absent, this inserts a released row, so that a delayed claim write fails.
 */
final class Settler {
  /**
   * Bounds the memory used during a long outage of the store. A dropped settlement leaves its row
   * in the state {@code STARTED}.
   */
  static final int MAX_WAITING = 10_000;

  /**
   * Bounds the answers that wait to be written. Beyond it an order is settled without its answer,
   * so that a resend gets "answer not kept".
   */
  static final long MAX_WAITING_ANSWER_BYTES = 16L * 1024 * 1024;

  private static final int MAX_IN_FLIGHT = 256;
  private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final GroupCommit commits;
  private final ClaimRowReader reader;
  private final EngineTimers timers;
  private final RandomGenerator random;
  private final ClaimsCounters counters;
  private final Consumer<String> onSettled;
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
   * Creates a settler without settlements.
   *
   * @param onSettled receives the key of each row that has been settled
   */
  Settler(
      GroupCommit commits,
      ClaimRowReader reader,
      EngineTimers timers,
      RandomGenerator random,
      ClaimsCounters counters,
      Consumer<String> onSettled) {
    this.commits = commits;
    this.reader = reader;
    this.timers = timers;
    this.random = random;
    this.counters = counters;
    this.onSettled = onSettled;
  }

  /** Returns the number of settlements that the store has not confirmed. */
  int unfinished() {
    return waiting.size() + inFlight;
  }

  /**
   * Writes the final state of a claim, with retries.
   *
   * @param row the row in its final state
   * @param expectedVersion the version of the row that holds the claim, or the precondition of a
   *     claim write that may still take effect
   */
  void settle(String rowKey, ClaimRow row, long expectedVersion) {
    if (waiting.size() >= MAX_WAITING) {
      Settlement dropped = waiting.poll();
      answerBytes -= dropped.answerBytes();
      counters.settlementsDropped.increment();
      Logger.warn(
          "event=claim_settlement_dropped row={} state={}", dropped.rowKey, dropped.row.state());
    }
    ClaimRow rowToWrite =
        answerBytes + row.answer().map(RecordedAnswer::bodyLength).orElse(0)
                > MAX_WAITING_ANSWER_BYTES
            ? row.settled(row.state(), Optional.empty())
            : row;
    Settlement settlement = new Settlement(rowKey, rowToWrite, expectedVersion);
    answerBytes += settlement.answerBytes();
    waiting.add(settlement);
    writeWaiting();
  }

  private void writeWaiting() {
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
            case NOT_APPLIED -> retryLater(settlement, true);
            case CONFLICT -> readAfterFailedWrite(settlement);
            case LOST -> {
              counters.lostAnswers.increment();
              readAfterFailedWrite(settlement);
            }
          }
        });
  }

  private void readAfterFailedWrite(Settlement settlement) {
    reader.read(
        settlement.rowKey,
        result -> {
          if (result.isLeft()) {
            retryLater(settlement, true);
            return;
          }
          SettleStep step =
              ClaimRules.afterSettleRead(settlement.row, settlement.expectedVersion, result.get());
          if (step instanceof SettleStep.Write next) {
            settlement.expectedVersion = next.expectedVersion();
            retryLater(settlement, false);
          } else if (step instanceof SettleStep.Finished) {
            finish(settlement);
          } else {
            retryLater(settlement, false);
          }
        });
  }

  private void finish(Settlement settlement) {
    inFlight--;
    answerBytes -= settlement.answerBytes();
    pauseNanos = MIN_PAUSE_NANOS;
    counters.settled.increment();
    onSettled.accept(settlement.rowKey);
    writeWaiting();
  }

  private void retryLater(Settlement settlement, boolean storeFailed) {
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
          writeWaiting();
        });
    pauseNanos = storeFailed ? Math.min(MAX_PAUSE_NANOS, pauseNanos * 2) : MIN_PAUSE_NANOS;
  }
}
