package dev.arbutusroad.core.routing;

import java.util.concurrent.TimeUnit;

/** Calls in flight, latency and failures of one target as this node observed them. */
final class TargetStats {
  /** The weight of a latency sample in the moving average. */
  private static final double LATENCY_WEIGHT = 0.2;

  /** A target that answered a call within this time counts as slow, not dead, on a timeout. */
  static final long UNRESPONSIVE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final long firstSeenNanos;
  private int inFlight;
  private double latencyNanos;
  private int consecutiveFailures;
  private int ejections;
  private long ejectedUntilNanos;
  private boolean ejected;
  private long lastAnswerNanos;

  TargetStats(long nowNanos) {
    this.firstSeenNanos = nowNanos;
    this.lastAnswerNanos = nowNanos;
  }

  void started() {
    inFlight++;
  }

  void succeeded(long sampleNanos, long nowNanos) {
    answered(nowNanos);
    ejections = 0;
    ejected = false;
    latencyNanos =
        latencyNanos == 0
            ? sampleNanos
            : latencyNanos + (sampleNanos - latencyNanos) * LATENCY_WEIGHT;
  }

  /** Records an answer that is not a success; its latency is not used as a sample. */
  void answered(long nowNanos) {
    inFlight--;
    consecutiveFailures = 0;
    lastAnswerNanos = nowNanos;
  }

  /** Records a call without a timely answer; a failure only if no call was answered recently. */
  void unanswered(long nowNanos) {
    inFlight--;
    if (nowNanos - lastAnswerNanos >= UNRESPONSIVE_NANOS) {
      consecutiveFailures++;
    }
  }

  void failed() {
    inFlight--;
    consecutiveFailures++;
  }

  void eject(long untilNanos) {
    ejected = true;
    ejections++;
    ejectedUntilNanos = untilNanos;
  }

  int inFlight() {
    return inFlight;
  }

  double latencyNanos() {
    return latencyNanos;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  int ejections() {
    return ejections;
  }

  long firstSeenNanos() {
    return firstSeenNanos;
  }

  boolean isEjected(long nowNanos) {
    return ejected && ejectedUntilNanos - nowNanos > 0;
  }

  /** Returns whether the ejection time has passed but no call has succeeded since. */
  boolean isOnProbation(long nowNanos) {
    return ejected && !isEjected(nowNanos);
  }
}
