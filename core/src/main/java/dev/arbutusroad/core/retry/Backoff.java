package dev.arbutusroad.core.retry;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Computes the pause before a retry: exponential back-off with full jitter, so that calls that
 * failed at the same time are not retried at the same time.
 */
public final class Backoff {
  static final long BASE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_DOUBLINGS = 6;

  private final RandomGenerator random;

  public Backoff(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns a random pause in nanoseconds, at most {@link #MAX_NANOS}.
   *
   * @param failedAttempts the number of failed attempts so far, at least 1
   */
  public long pauseNanos(int failedAttempts) {
    if (failedAttempts < 1) {
      throw new IllegalArgumentException(
          "failedAttempts must be at least 1, not " + failedAttempts);
    }
    long exponentialNanos = BASE_NANOS << Math.min(MAX_DOUBLINGS, failedAttempts - 1);
    return random.nextLong(Math.min(MAX_NANOS, exponentialNanos) + 1);
  }
}
