package dev.arbutusroad.core.retry;

/** Permits another attempt only if a serving target exists that has not been tried. */
public final class AnotherTarget implements RetryRule {
  @Override
  public boolean permits(FailedAttempt attempt, long pauseNanos) {
    return attempt.otherTarget();
  }
}
