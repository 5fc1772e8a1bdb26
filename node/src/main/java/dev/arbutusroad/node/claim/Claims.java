package dev.arbutusroad.node.claim;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/** Claims unrepeatable orders before they run, so that each runs at most once. */
@FunctionalInterface
public interface Claims {
  /**
   * Claims an order.
   *
   * <p>If the caller cancels the future and the claim still succeeds, the claim is released.
   *
   * @param service the service that runs the order
   * @param key the value of the order key header
   * @param deadlineNanos the time of the node's ticker by which a decision is needed, in
   *     nanoseconds
   * @param executor the executor that completes the future; usually the caller's event loop
   * @return the future decision; never completed exceptionally
   */
  CompletableFuture<ClaimDecision> claim(
      String service, String key, long deadlineNanos, Executor executor);
}
