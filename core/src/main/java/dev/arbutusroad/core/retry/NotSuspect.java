package dev.arbutusroad.core.retry;

/** Permits another attempt only of a request that is not suspected of crashing its targets. */
public final class NotSuspect implements RetryRule {
  @Override
  public boolean permits(FailedAttempt attempt, long pauseNanos) {
    return !attempt.suspect();
  }
}
