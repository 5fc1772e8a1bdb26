package dev.arbutusroad.core.claim;

/** The next step of the holder of a claim that writes its final state. */
public sealed interface SettleStep {
  /** Write the final state if the row has this version. */
  record Write(long expectedVersion) implements SettleStep {}

  /** Stop: the row holds the final state or can never hold the claim of this attempt. */
  record Finished() implements SettleStep {}

  /** Write again later with the same precondition. */
  record Retry() implements SettleStep {}
}
