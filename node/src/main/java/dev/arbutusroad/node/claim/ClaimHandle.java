package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.RecordedAnswer;

/**
 * A claim that this node holds on an order, and through which the result of the run is reported.
 * Only the first report takes effect; no method blocks.
 */
public interface ClaimHandle {
  /** Reports that the order ran and that its answer is complete. */
  void done(RecordedAnswer answer);

  /** Reports that the order ran, and that its answer is too large to record or incomplete. */
  void doneWithoutAnswer();

  /**
   * Reports that no byte of the order was sent, or that the target stated that it did not run it.
   * The order may be claimed again.
   */
  void releaseNotRun();

  /** Reports that the target failed while the order ran, so that it may or may not have run. */
  void outcomeUnknown();
}
