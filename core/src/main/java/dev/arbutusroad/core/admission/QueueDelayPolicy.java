package dev.arbutusroad.core.admission;

/**
 * Derives the queueing delay that counts as overload and the queue timeout from the mean latency of
 * calls.
 */
final class QueueDelayPolicy {
  /** The queueing delay that separates bursts from overload in DAGOR. */
  private static final long MIN_SET_POINT_NANOS = 20_000_000L;

  private static final long MAX_SET_POINT_NANOS = 500_000_000L;
  private static final long MIN_QUEUE_TIMEOUT_NANOS = 500_000_000L;

  /** The set-point as a share of the mean latency, as slow targets free slots less often. */
  private static final double SET_POINT_LATENCY_SHARE = 0.5;

  private static final int QUEUE_TIMEOUT_LATENCIES = 4;
  private static final int OVERLOADED_QUEUE_TIMEOUT_SET_POINTS = 4;

  /** Returns the set-point of the queueing delay; a longer delay means overload. */
  long setPointNanos(long meanLatencyNanos) {
    long proportionalNanos = (long) (meanLatencyNanos * SET_POINT_LATENCY_SHARE);
    return Math.max(MIN_SET_POINT_NANOS, Math.min(MAX_SET_POINT_NANOS, proportionalNanos));
  }

  /**
   * Returns how long a new call waits at most. The timeout is shorter during overload: an early
   * refusal leaves the caller time to try another target, and a standing queue only adds delay.
   */
  long queueTimeoutNanos(boolean overloaded, long meanLatencyNanos) {
    return overloaded
        ? OVERLOADED_QUEUE_TIMEOUT_SET_POINTS * setPointNanos(meanLatencyNanos)
        : Math.max(MIN_QUEUE_TIMEOUT_NANOS, QUEUE_TIMEOUT_LATENCIES * meanLatencyNanos);
  }
}
