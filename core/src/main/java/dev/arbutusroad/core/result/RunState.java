package dev.arbutusroad.core.result;

/** Whether a request has run on a target, as far as the answering node knows. */
public enum RunState {
  /** No byte of the request reached a target, or the target refused it by contract. */
  NOT_RUN,
  /** The request may have run. */
  UNKNOWN,
  /** The request ran and its answer is complete. */
  RUN,
  /** The result code does not concern the run of a request. */
  NOT_APPLICABLE
}
