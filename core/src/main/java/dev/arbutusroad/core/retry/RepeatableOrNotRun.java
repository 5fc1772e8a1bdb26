package dev.arbutusroad.core.retry;

/** Permits another attempt of an unrepeatable call only if it has not run. */
public final class RepeatableOrNotRun implements RetryRule {
  @Override
  public boolean permits(FailedAttempt attempt, long pauseNanos) {
    return !(attempt.unrepeatable() && attempt.mayHaveRun());
  }
}
