package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.result.Failure;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.tinylog.Logger;

/** Completes the caller's future on the caller's executor, and counts the decision. */
final class ClaimReply {
  private final CompletableFuture<ClaimDecision> future;
  private final Executor executor;
  private final ClaimsCounters counters;

  ClaimReply(CompletableFuture<ClaimDecision> future, Executor executor, ClaimsCounters counters) {
    this.future = future;
    this.executor = executor;
    this.counters = counters;
  }

  /** Tells the caller to run the order; releases the claim if the caller no longer waits. */
  void run(ClaimHandle handle) {
    counters.run.increment();
    try {
      executor.execute(
          () -> {
            if (!future.complete(new ClaimDecision.Run(handle))) {
              handle.releaseNotRun();
            }
          });
    } catch (RejectedExecutionException e) {
      Logger.warn("event=claim_reply_rejected cause=\"{}\"", e);
      handle.releaseNotRun();
    }
  }

  void answer(RecordedAnswer answer) {
    counters.answered.increment();
    complete(new ClaimDecision.Answer(answer));
  }

  void refuse(Failure failure) {
    counters.refused.increment();
    complete(new ClaimDecision.Refuse(failure));
  }

  private void complete(ClaimDecision decision) {
    try {
      executor.execute(() -> future.complete(decision));
    } catch (RejectedExecutionException e) {
      Logger.warn("event=claim_reply_rejected cause=\"{}\"", e);
    }
  }
}
