package dev.arbutusroad.core.retry;

/** A condition that a call must meet to be sent again. */
public interface RetryRule {
  /** Returns whether the rule permits another attempt after a pause of {@code pauseNanos}. */
  boolean permits(FailedAttempt attempt, long pauseNanos);

  /** Returns the name of the rule as written to decisions, log lines and metrics. */
  default String name() {
    return getClass().getSimpleName();
  }
}
