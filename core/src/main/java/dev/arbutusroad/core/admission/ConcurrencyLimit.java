package dev.arbutusroad.core.admission;

/** Limits the number of calls that run at a target at the same time. */
public interface ConcurrencyLimit {
  /** Returns the number of calls that may run at present, at least 1. */
  int limit();

  /**
   * Records that a call starts.
   *
   * @param inFlight the number of running calls, including this one
   * @return a tag that the caller passes to {@link #finished}
   */
  int started(int inFlight);

  /**
   * Records that a call has ended.
   *
   * @param sampleTag the value that {@link #started} returned for the call
   * @param latencyNanos the time that the call ran at the target
   */
  void finished(int sampleTag, long latencyNanos, CallOutcome outcome, long nowNanos);

  /** Returns the mean latency of recent calls in nanoseconds; 0 before the first call. */
  long meanLatencyNanos();
}
