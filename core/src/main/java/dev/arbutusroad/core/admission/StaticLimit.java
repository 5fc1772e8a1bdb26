package dev.arbutusroad.core.admission;

/** A fixed concurrency limit, the baseline for the adaptive limits. */
public final class StaticLimit implements ConcurrencyLimit {
  private final int limit;
  private final LatencyAverage average = new LatencyAverage();

  public StaticLimit(int limit) {
    if (limit < 1) {
      throw new IllegalArgumentException("limit must be at least 1, not " + limit);
    }
    this.limit = limit;
  }

  @Override
  public int limit() {
    return limit;
  }

  @Override
  public int started(int inFlight) {
    return 0;
  }

  @Override
  public void finished(int sampleTag, long latencyNanos, CallOutcome outcome, long nowNanos) {
    if (outcome != CallOutcome.IGNORED) {
      average.add(latencyNanos);
    }
  }

  @Override
  public long meanLatencyNanos() {
    return average.meanNanos();
  }
}
