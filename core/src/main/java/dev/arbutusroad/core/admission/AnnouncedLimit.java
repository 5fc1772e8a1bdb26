package dev.arbutusroad.core.admission;

/**
 * The number of calls that the target says it runs at once; a measured limit until it has said so.
 *
 * <p>More calls than that would only wait in the target, where more important ones can't pass them.
 */
public final class AnnouncedLimit implements ConcurrencyLimit {
  private final ConcurrencyLimit measured;
  private int announced;

  public AnnouncedLimit(ConcurrencyLimit measured) {
    this.measured = measured;
  }

  /** Sets the announced number; 0 if the target does not know it. */
  public void announce(int slots) {
    announced = Math.max(0, slots);
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
