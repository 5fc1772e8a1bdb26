package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.result.RunState;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when a caller whose request has not run should come back. The pauses are spread, so that
 * the calls refused in one moment do not come back in one moment.
 */
public final class RetryAdvice {
  /** Another node or target is there at once; the pause only spreads the callers. */
  static final Duration SHORT_PAUSE = Duration.ofMillis(100);

  /** The time in which a queue that refuses calls shrinks noticeably. */
  static final Duration OVERLOAD_PAUSE = Duration.ofMillis(500);

  private final RandomGenerator random;

  public RetryAdvice(RandomGenerator random) {
    this.random = random;
  }

  /** The pause after a refusal; empty if the request may have run. */
  public Optional<Duration> pause(ResultCode code) {
    if (code.runState() != RunState.NOT_RUN) {
      return Optional.empty();
    }
    long mean =
        switch (code) {
          case SHED, QUEUE_FULL, EXPIRED_IN_QUEUE, TARGET_REFUSED -> OVERLOAD_PAUSE.toNanos();
          default -> SHORT_PAUSE.toNanos();
        };
    return Optional.of(Duration.ofNanos(mean / 2 + random.nextLong(mean)));
  }
}
