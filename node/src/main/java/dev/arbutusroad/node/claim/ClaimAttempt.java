package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.ClaimRow;
import dev.arbutusroad.core.claim.ClaimRowJson;
import dev.arbutusroad.core.claim.ClaimRules;
import dev.arbutusroad.core.claim.ClaimRules.ReadRow;
import dev.arbutusroad.core.claim.ClaimState;
import dev.arbutusroad.core.claim.ClaimStep;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.Write;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to claim an order, until it is decided whether the order may run.
 *
 * <p>If the attempt ends while one of its writes may still take effect, it passes the row to the
 * settler, which writes the state {@code RELEASED}.
 */
final class ClaimAttempt {
  private static final long MIN_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long MAX_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final ClaimsEngine engine;
  private final String rowKey;
  private final ClaimRow claim;
  private final long deadlineNanos;
  private final ClaimReply reply;

  private long expectedVersion = ClaimRules.ABSENT;
  private boolean writeMayApply;
  private boolean writing;
  private boolean reading;
  private boolean sawConflict;
  private boolean sawStarted;
  private boolean finished;
  private long pollNanos = MIN_POLL_NANOS;
  private long pollSequence;

  ClaimAttempt(
      ClaimsEngine engine, String rowKey, ClaimRow claim, long deadlineNanos, ClaimReply reply) {
    this.engine = engine;
    this.rowKey = rowKey;
    this.claim = claim;
    this.deadlineNanos = deadlineNanos;
    this.reply = reply;
  }

  String rowKey() {
    return rowKey;
  }

  void start() {
    engine.timers().at(deadlineNanos, this::giveUp);
    write(ClaimRules.ABSENT);
  }

  /** Reads the row without waiting for the next poll, because this node has settled it. */
  void readIfWaiting() {
    if (!finished && !writing && !reading) {
      read();
    }
  }

  private void write(long newExpectedVersion) {
    if (newExpectedVersion != expectedVersion) {
      // The row is newer than the old precondition, so a write with it can no longer take effect.
      writeMayApply = false;
      expectedVersion = newExpectedVersion;
    }
    writing = true;
    engine
        .commits()
        .add(
            new Write(rowKey, Optional.of(ClaimRowJson.encode(claim)), expectedVersion),
            true,
            () -> !finished,
            this::onWritten);
  }

  private void onWritten(GroupCommit.Outcome outcome, long version) {
    writing = false;
    switch (outcome) {
      case APPLIED -> onClaimed(version);
      case CONFLICT -> {
        sawConflict = true;
        if (finished) {
          releaseIfWriteMayApply();
        } else {
          read();
        }
      }
      case LOST -> {
        engine.counters().lostAnswers.increment();
        writeMayApply = true;
        if (finished) {
          releaseIfWriteMayApply();
        } else {
          read();
        }
      }
      case NOT_APPLIED -> {
        if (finished) {
          releaseIfWriteMayApply();
        } else {
          giveUp();
        }
      }
    }
  }

  private void onClaimed(long version) {
    if (finished) {
      engine.release(rowKey, claim, version);
      return;
    }
    finish();
    if (engine.timers().now() - deadlineNanos >= 0) {
      engine.release(rowKey, claim, version);
      reply.refuse(Failure.of(ResultCode.EXPIRED_IN_QUEUE));
      return;
    }
    reply.run(engine.handle(rowKey, claim, version));
  }

  private void read() {
    reading = true;
    engine.reader().read(rowKey, this::onRead);
  }

  private void onRead(Either<Failure, Optional<ReadRow>> result) {
    reading = false;
    if (finished) {
      return;
    }
    if (result.isLeft()) {
      onReadFailed(result.getLeft());
      return;
    }
    ClaimStep step = ClaimRules.afterRead(claim.token(), expectedVersion, result.get());
    if (step instanceof ClaimStep.Run run) {
      onClaimed(run.version());
    } else if (step instanceof ClaimStep.Write next) {
      // The pause limits the load on the store after repeated conflicts or lost answers.
      scheduleAfterPause(() -> write(next.expectedVersion()));
    } else if (step instanceof ClaimStep.Answer answer) {
      finish();
      reply.answer(answer.answer());
    } else if (step instanceof ClaimStep.Refuse refuse) {
      finish();
      reply.refuse(Failure.of(refuse.code()));
    } else {
      sawStarted |=
          result.get().filter(read -> read.row().state() == ClaimState.STARTED).isPresent();
      scheduleAfterPause(this::read);
    }
  }

  private void onReadFailed(Failure failure) {
    if (failure.code() == ResultCode.OUTCOME_UNKNOWN) {
      finish();
      reply.refuse(failure);
    } else if (failure.code() == ResultCode.PLATFORM_TIMEOUT || sawStarted) {
      scheduleAfterPause(this::read);
    } else {
      giveUp();
    }
  }

  private void scheduleAfterPause(Runnable next) {
    long delayNanos = pollNanos / 2 + engine.random().nextLong(pollNanos / 2 + 1);
    pollNanos = Math.min(MAX_POLL_NANOS, pollNanos * 2);
    long sequence = ++pollSequence;
    engine
        .timers()
        .after(
            delayNanos,
            () -> {
              if (!finished && !writing && !reading && sequence == pollSequence) {
                next.run();
              }
            });
  }

  /** Ends the attempt without a claim and without a recorded result. */
  private void giveUp() {
    if (finished) {
      return;
    }
    finish();
    if (!writing) {
      releaseIfWriteMayApply();
    }
    reply.refuse(Failure.of(ClaimRules.undecidedCode(sawStarted, sawConflict)));
  }

  private void releaseIfWriteMayApply() {
    if (writeMayApply) {
      writeMayApply = false;
      engine.counters().abandoned.increment();
      engine.release(rowKey, claim, expectedVersion);
    }
  }

  private void finish() {
    finished = true;
    engine.remove(this);
  }
}
