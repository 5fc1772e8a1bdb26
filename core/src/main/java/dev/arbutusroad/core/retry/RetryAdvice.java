package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.result.RunState;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Computes the pause that a caller is advised to keep before it resends a request that has not run.
 *
 * <p>Pauses are jittered, so that calls refused at the same time are not resent at the same time.
 */
public final class RetryAdvice {
  /** Used when another node or target is available at once; the pause only spreads the callers. */
  static final Duration SHORT_PAUSE = Duration.ofMillis(100);

  /** Used under overload: a queue that refuses calls shrinks noticeably within this time. */
  static final Duration OVERLOAD_PAUSE = Duration.ofMillis(500);

  private final RandomGenerator random;

  public RetryAdvice(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns a pause of 0.5 to 1.5 times the mean for {@code code}; empty if the request may have
   * run.
   */
  public Optional<Duration> pause(ResultCode code) {
    if (code.runState() != RunState.NOT_RUN) {
      return Optional.empty();
    }
    long meanNanos =
        switch (code) {
          case SHED, QUEUE_FULL, EXPIRED_IN_QUEUE, TARGET_REFUSED -> OVERLOAD_PAUSE.toNanos();
          default -> SHORT_PAUSE.toNanos();
        };
    return Optional.of(Duration.ofNanos(meanNanos / 2 + random.nextLong(meanNanos)));
  }
}
