package dev.arbutusroad.core.routing;

import java.util.concurrent.TimeUnit;

/** What this node has seen of one target: calls in flight, latency and failures. */
final class TargetStats {
  /** Weight of the newest latency sample in the moving average. */
  private static final double LATENCY_WEIGHT = 0.2;

  /** A target that has answered within this time is slow, not dead, when a call times out. */
  static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);

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

  void succeeded(long latency, long nowNanos) {
    answered(nowNanos);
    ejections = 0;
    ejected = false;
    latencyNanos =
        latencyNanos == 0 ? latency : latencyNanos + (latency - latencyNanos) * LATENCY_WEIGHT;
  }

  /** Ends a call that was answered, but not with a success: it says nothing about the latency. */
  void answered(long nowNanos) {
    inFlight--;
    consecutiveFailures = 0;
    lastAnswerNanos = nowNanos;
  }

  /** Ends a call without an answer in time: a failure only if no other call was answered lately. */
  void unanswered(long nowNanos) {
    inFlight--;
    if (nowNanos - lastAnswerNanos >= SILENCE_NANOS) {
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

  /** Whether the ejection time is over but no call has succeeded since. */
  boolean isOnProbation(long nowNanos) {
    return ejected && !isEjected(nowNanos);
  }
}
