package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.result.Failure;

/** The outcome of an attempt to claim an order, which the gate carries out. */
public sealed interface ClaimDecision {
  /** The order is claimed: run it and report the result on the handle, exactly once. */
  record Run(ClaimHandle handle) implements ClaimDecision {}

  /** The order ran before: return its recorded answer. */
  record Answer(RecordedAnswer answer) implements ClaimDecision {}

  /** The order must not run here; the code states whether it may have run before. */
  record Refuse(Failure failure) implements ClaimDecision {}
}
