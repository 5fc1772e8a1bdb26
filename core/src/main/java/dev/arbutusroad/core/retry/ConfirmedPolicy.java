package dev.arbutusroad.core.retry;

/**
 * Permits another attempt of a write that may have run only while the configuration is confirmed,
 * because a newer configuration may declare the call unrepeatable.
 */
public final class ConfirmedPolicy implements RetryRule {
  @Override
  public boolean permits(FailedAttempt attempt, long pauseNanos) {
    return !attempt.unconfirmed() || attempt.readOnly() || !attempt.mayHaveRun();
  }
}
