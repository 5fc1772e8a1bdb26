package dev.arbutusroad.core.admission;

/** How an admitted call ended, as input for the concurrency limit. */
public enum CallOutcome {
  /** The target answered; the latency is used as a sample. */
  ANSWERED,
  /** The deadline passed or the target refused the call; the latency is a lower bound. */
  OVERLOADED,
  /** The caller cancelled or the target died; the latency does not reflect the load. */
  IGNORED
}
