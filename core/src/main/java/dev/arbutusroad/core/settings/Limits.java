package dev.arbutusroad.core.settings;

/**
 * Time limits, sizes and intervals of a node, each with a default and bounds.
 *
 * @param drainLimitMillis how long a draining node waits for the calls in progress
 * @param platformTimeoutMillis how long one platform operation may take
 * @param connectTimeoutMillis how long opening a connection to a node or target may take
 * @param queueLimit how many calls may wait for admission
 * @param announcementMillis how often the target announces itself
 */
public record Limits(
    long drainLimitMillis,
    long platformTimeoutMillis,
    long connectTimeoutMillis,
    int queueLimit,
    long announcementMillis) {
  /** Longer than the longest upload over a slow client connection. */
  public static final long DEFAULT_DRAIN_LIMIT_MILLIS = 120_000;

  public static final long MIN_DRAIN_LIMIT_MILLIS = 1_000;
  public static final long MAX_DRAIN_LIMIT_MILLIS = 3_600_000;

  public static final long DEFAULT_PLATFORM_TIMEOUT_MILLIS = 2_000;
  public static final long MIN_PLATFORM_TIMEOUT_MILLIS = 50;
  public static final long MAX_PLATFORM_TIMEOUT_MILLIS = 30_000;

  /** Connecting within an installation takes a few milliseconds; see section 1.6 of the design. */
  public static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 500;

  public static final long MIN_CONNECT_TIMEOUT_MILLIS = 10;
  public static final long MAX_CONNECT_TIMEOUT_MILLIS = 10_000;

  public static final int DEFAULT_QUEUE_LIMIT = 1_000;
  public static final int MIN_QUEUE_LIMIT = 1;
  public static final int MAX_QUEUE_LIMIT = 100_000;

  /** The announcement interval of arbutusroad's own protocol. */
  public static final long DEFAULT_ANNOUNCEMENT_MILLIS = 1_000;

  public static final long MIN_ANNOUNCEMENT_MILLIS = 100;
  public static final long MAX_ANNOUNCEMENT_MILLIS = 60_000;

  /** A target is considered dead after this many announcements are late or lost. */
  private static final int ANNOUNCEMENTS_PER_LEASE = 3;

  public Limits {
    check("drainLimitMillis", drainLimitMillis, MIN_DRAIN_LIMIT_MILLIS, MAX_DRAIN_LIMIT_MILLIS);
    check(
        "platformTimeoutMillis",
        platformTimeoutMillis,
        MIN_PLATFORM_TIMEOUT_MILLIS,
        MAX_PLATFORM_TIMEOUT_MILLIS);
    check(
        "connectTimeoutMillis",
        connectTimeoutMillis,
        MIN_CONNECT_TIMEOUT_MILLIS,
        MAX_CONNECT_TIMEOUT_MILLIS);
    check("queueLimit", queueLimit, MIN_QUEUE_LIMIT, MAX_QUEUE_LIMIT);
    check(
        "announcementMillis", announcementMillis, MIN_ANNOUNCEMENT_MILLIS, MAX_ANNOUNCEMENT_MILLIS);
  }

  /** Returns how long a target counts as alive without another announcement. */
  public long targetLeaseMillis() {
    return ANNOUNCEMENTS_PER_LEASE * announcementMillis;
  }

  /** Returns the default values. */
  public static Limits defaults() {
    return new Limits(
        DEFAULT_DRAIN_LIMIT_MILLIS,
        DEFAULT_PLATFORM_TIMEOUT_MILLIS,
        DEFAULT_CONNECT_TIMEOUT_MILLIS,
        DEFAULT_QUEUE_LIMIT,
        DEFAULT_ANNOUNCEMENT_MILLIS);
  }

  private static void check(String name, long value, long min, long max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(name + " must be " + min + " to " + max + ": " + value);
    }
  }
}
