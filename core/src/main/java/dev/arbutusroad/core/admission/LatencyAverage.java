package dev.arbutusroad.core.admission;

/** Keeps an exponentially weighted moving average of latencies. */
final class LatencyAverage {
  /** The weight of one sample; the average follows a change within about 50 calls. */
  private static final double SAMPLE_WEIGHT = 0.02;

  private double meanNanos;

  void add(long latencyNanos) {
    meanNanos =
        meanNanos == 0 ? latencyNanos : meanNanos + SAMPLE_WEIGHT * (latencyNanos - meanNanos);
  }

  long meanNanos() {
    return (long) meanNanos;
  }
}
