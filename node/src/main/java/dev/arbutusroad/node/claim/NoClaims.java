package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Refuses every order; used by a node without a platform. */
public final class NoClaims implements Claims {
  @Override
  public CompletableFuture<ClaimDecision> claim(
      String service, String key, long deadlineNanos, Executor executor) {
    CompletableFuture<ClaimDecision> future = new CompletableFuture<>();
    Failure failure = new Failure(ResultCode.PLATFORM_UNAVAILABLE, "the node has no platform");
    executor.execute(() -> future.complete(new ClaimDecision.Refuse(failure)));
    return future;
  }
}
