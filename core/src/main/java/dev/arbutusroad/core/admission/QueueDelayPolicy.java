package dev.arbutusroad.core.admission;

/** How long calls may wait, relative to how long they run. */
final class QueueDelay {
  /** The set-point that DAGOR found to separate bursts from overload. */
  private static final long MIN_SET_POINT_NANOS = 20_000_000L;

  private static final long MAX_SET_POINT_NANOS = 500_000_000L;
  private static final long MIN_PATIENCE_NANOS = 500_000_000L;

  /** The set-point as a share of the time a call runs: slow targets free slots rarely. */
  private static final double SET_POINT_SHARE = 0.5;

  private static final int PATIENCE_LATENCIES = 4;
  private static final int OVERLOADED_PATIENCE_SET_POINTS = 4;

  /** A delay above this is overload. */
  long setPointNanos(long meanLatencyNanos) {
    long wantedNanos = (long) (meanLatencyNanos * SET_POINT_SHARE);
    return Math.max(MIN_SET_POINT_NANOS, Math.min(MAX_SET_POINT_NANOS, wantedNanos));
  }

  /**
   * How long a new call waits at most. It is short while overloaded: an early refusal leaves the
   * caller time to try elsewhere, and a standing queue only adds delay.
   */
  long patienceNanos(boolean overloaded, long meanLatencyNanos) {
    return overloaded
        ? OVERLOADED_PATIENCE_SET_POINTS * setPointNanos(meanLatencyNanos)
        : Math.max(MIN_PATIENCE_NANOS, PATIENCE_LATENCIES * meanLatencyNanos);
  }
}
