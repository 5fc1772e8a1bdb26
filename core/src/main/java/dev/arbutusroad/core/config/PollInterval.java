package dev.arbutusroad.core.config;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Computes the interval between two reads of the current version by a node. The interval grows with
 * the number of members, which bounds the read rate of the whole installation.
 */
public final class PollInterval {
  /** Limits polling to less than a twentieth of the store's capacity, about 2,000 reads/s. */
  public static final int MAX_READS_PER_SECOND = 95;

  public static final long MIN_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** With a change feed, polling is needed only if the feed has silently stopped. */
  public static final long MIN_NANOS_WITH_FEED = TimeUnit.SECONDS.toNanos(4);

  public static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Relative jitter, which spreads the reads of nodes that started at the same time. */
  private static final double JITTER = 0.2;

  private PollInterval() {}

  /** Returns the mean interval for a number of members without a change feed. */
  public static long meanNanos(int members) {
    return meanNanos(members, MIN_NANOS);
  }

  /** Returns the mean interval for a number of members, at least {@code minNanos}. */
  public static long meanNanos(int members, long minNanos) {
    long nanos = TimeUnit.SECONDS.toNanos(Math.max(0, members)) / MAX_READS_PER_SECOND;
    return Math.min(Math.max(nanos, minNanos), MAX_NANOS);
  }

  /** Returns a random interval, distributed uniformly around the mean. */
  public static long nextNanos(int members, long minNanos, RandomGenerator random) {
    double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
    return (long) (meanNanos(members, minNanos) * factor);
  }
}
