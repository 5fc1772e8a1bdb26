package dev.arbutusroad.core.admission;

/**
 * Limits calls to slightly fewer than the number of slots that the target announces, and delegates
 * to another limit while it has announced none.
 *
 * <p>Calls beyond the slots would wait in the target, where more important calls cannot overtake
 * them. The last slots stay free because some targets run all calls more slowly when they are
 * nearly full, which costs more throughput than the slots add.
 */
public final class AnnouncedLimit implements ConcurrencyLimit {
  /** Some small targets slow down by a factor of 1.3 from this share of their slots in use. */
  private static final double SLOWDOWN_UTILIZATION = 0.95;

  private final ConcurrencyLimit fallback;
  private int announcedLimit;

  public AnnouncedLimit(ConcurrencyLimit fallback) {
    this.fallback = fallback;
  }

  /** Sets the number of slots that the target announced; 0 if it does not know the number. */
  public void announce(int slots) {
    announcedLimit = slots > 0 ? usableSlots(slots) : 0;
  }

  /** Returns the largest number of calls below the slowdown utilization, at least 1. */
  private static int usableSlots(int slots) {
    return Math.max(1, (int) Math.ceil(SLOWDOWN_UTILIZATION * slots) - 1);
  }

  @Override
  public int limit() {
    return announcedLimit > 0 ? announcedLimit : fallback.limit();
  }

  @Override
  public int started(int inFlight) {
    return fallback.started(inFlight);
  }

  @Override
  public void finished(int sampleTag, long latencyNanos, CallOutcome outcome, long nowNanos) {
    fallback.finished(sampleTag, latencyNanos, outcome, nowNanos);
  }

  @Override
  public long meanLatencyNanos() {
    return fallback.meanLatencyNanos();
  }
}
