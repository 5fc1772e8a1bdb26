package dev.arbutusroad.core.retry;

/** Permits another attempt only if the pause before it ends before the deadline. */
public final class TimeRemaining implements RetryRule {
  @Override
  public boolean permits(FailedAttempt attempt, long pauseNanos) {
    return attempt.remainingNanos() > pauseNanos;
  }
}
