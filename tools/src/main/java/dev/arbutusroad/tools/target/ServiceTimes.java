package dev.arbutusroad.tools.target;

import dev.arbutusroad.core.time.Ticker;
import java.time.Duration;
import java.util.SplittableRandom;

/** Generates the service times of calls: how long each call holds its slot. */
final class ServiceTimes {
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final Ticker ticker;
  private final long startNanos;
  private final SplittableRandom random;

  ServiceTimes(Ticker ticker, long seed) {
    this.ticker = ticker;
    this.startNanos = ticker.nanos();
    this.random = new SplittableRandom(seed);
  }

  /** Returns the service time of the next call from the mean, the jitter and the cold start. */
  synchronized Duration next(TargetBehaviour behaviour) {
    double jitterMillis = behaviour.jitterMillis() * (2 * random.nextDouble() - 1);
    double millis = Math.max(0, behaviour.serviceMillis() + jitterMillis);
    return Duration.ofNanos((long) (millis * coldStartFactor(behaviour) * NANOS_PER_MILLI));
  }

  private double coldStartFactor(TargetBehaviour behaviour) {
    double elapsedMillis = (ticker.nanos() - startNanos) / NANOS_PER_MILLI;
    if (elapsedMillis >= behaviour.coldStartMillis()) {
      return 1;
    }
    double remainingShare = 1 - elapsedMillis / behaviour.coldStartMillis();
    return 1 + (behaviour.coldStartFactor() - 1) * remainingShare;
  }
}
