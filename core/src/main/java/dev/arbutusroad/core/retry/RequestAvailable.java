package dev.arbutusroad.core.retry;

/** Permits another attempt only if the whole request is held, so that it can be sent again. */
public final class RequestAvailable implements RetryRule {
  @Override
  public boolean permits(FailedAttempt attempt, long pauseNanos) {
    return attempt.bodyAvailable();
  }
}
