package dev.arbutusroad.core.config;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * How long a node waits between two reads of the current version. The interval grows with the
 * number of members, so that the installation as a whole keeps to its share of the store's reads.
 */
public final class PollInterval {
  /** The store handles about 2,000 reads a second; polling may take less than a twentieth. */
  public static final int MAX_READS_PER_SECOND = 95;

  public static final long MIN_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** With a feed that tells of changes, reads only make up for a feed that has gone silent. */
  public static final long MIN_NANOS_WITH_FEED = TimeUnit.SECONDS.toNanos(4);

  public static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Spreads nodes that started together; the mean stays at the interval. */
  private static final double JITTER = 0.2;

  private PollInterval() {}

  /** The mean interval for a number of members without a feed. */
  public static long meanNanos(int members) {
    return meanNanos(members, MIN_NANOS);
  }

  /** The mean interval for a number of members, at least {@code minNanos}. */
  public static long meanNanos(int members, long minNanos) {
    long nanos = TimeUnit.SECONDS.toNanos(Math.max(0, members)) / MAX_READS_PER_SECOND;
    return Math.min(Math.max(nanos, minNanos), MAX_NANOS);
  }

  /** One interval, chosen evenly around the mean. */
  public static long nextNanos(int members, long minNanos, RandomGenerator random) {
    double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
    return (long) (meanNanos(members, minNanos) * factor);
  }
}
