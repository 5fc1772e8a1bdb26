package dev.arbutusroad.core.claim;

import dev.arbutusroad.core.result.ResultCode;

/** The next step of an attempt to claim an order. */
public sealed interface ClaimStep {
  /** Write the claim if the row has this version; 0 if it must be absent. */
  record Write(long expectedVersion) implements ClaimStep {}

  /** Run the order: this attempt holds the claim in this version of the row. */
  record Run(long version) implements ClaimStep {}

  /** Read the row again later. */
  record Wait() implements ClaimStep {}

  /** Return the recorded answer to the caller. */
  record Answer(RecordedAnswer answer) implements ClaimStep {}

  /** Refuse the order with a result code. */
  record Refuse(ResultCode code) implements ClaimStep {}
}
