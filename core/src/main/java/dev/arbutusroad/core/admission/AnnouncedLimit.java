package dev.arbutusroad.core.admission;

/**
 * A little less than the number of calls that the target says it runs at once; a measured limit
 * until it has said so.
 *
 * <p>More calls than that would only wait in the target, where more important ones can't pass them.
 * The last slots stay free, as some targets run all calls more slowly when they are nearly full:
 * these lose more than the slots are worth.
 */
public final class AnnouncedLimit implements ConcurrencyLimit {
  /** Targets of the users' smallest services slow down by 1.3 from this share of their slots. */
  private static final double NEARLY_FULL = 0.95;

  private final ConcurrencyLimit measured;
  private int announced;

  public AnnouncedLimit(ConcurrencyLimit measured) {
    this.measured = measured;
  }

  /** Sets the announced number; 0 if the target does not know it. */
  public void announce(int slots) {
    announced = slots > 0 ? usable(slots) : 0;
  }

  /** The most calls that leave the target less than nearly full; at least one. */
  private static int usable(int slots) {
    return Math.max(1, (int) Math.ceil(NEARLY_FULL * slots) - 1);
  }

  @Override
  public int limit() {
    return announced > 0 ? announced : measured.limit();
  }

  @Override
  public int started(int inFlight) {
    return measured.started(inFlight);
  }

  @Override
  public void finished(int mark, long latencyNanos, CallOutcome outcome, long nowNanos) {
    measured.finished(mark, latencyNanos, outcome, nowNanos);
  }

  @Override
  public long meanLatencyNanos() {
    return measured.meanLatencyNanos();
  }
}
