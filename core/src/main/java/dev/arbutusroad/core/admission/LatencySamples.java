package dev.arbutusroad.core.admission;

/** Accumulates weighted latency samples and returns their mean and its relative variance. */
final class LatencySamples {
  private double count;
  private double sum;
  private double sumOfSquares;

  void add(long latencyNanos) {
    count++;
    sum += latencyNanos;
    sumOfSquares += (double) latencyNanos * latencyNanos;
  }

  /** Multiplies the weight of the samples so far by a share from 0 to 1. */
  void scaleWeight(double share) {
    count *= share;
    sum *= share;
    sumOfSquares *= share;
  }

  boolean isEmpty() {
    return sum <= 0;
  }

  /** Returns the mean in nanoseconds; undefined without samples. */
  double mean() {
    return sum / count;
  }

  /** Returns the variance of the mean, relative to the square of the mean. */
  double relativeVariance() {
    double mean = mean();
    return Math.max(0, sumOfSquares / count - mean * mean) / (mean * mean * count);
  }
}
