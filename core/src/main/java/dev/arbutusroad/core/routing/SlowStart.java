package dev.arbutusroad.core.routing;

import dev.arbutusroad.core.membership.Member;
import java.util.concurrent.TimeUnit;

/** Ramps up a target that was first seen a short time ago, so that a cold start is not flooded. */
final class SlowStart implements RoutingWeight {
  /**
   * Targets are slow for about 3 s after their start. A longer ramp takes capacity away when a node
   * is replaced and the target beside it is warm.
   */
  static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Cost factor at the start of the ramp; a cold target is about twice as slow as a warm one. */
  static final double MAX_FACTOR = 3;

  private final long startedNanos;

  /**
   * Creates the rule.
   *
   * @param startedNanos when this node began to observe; targets seen at that time are not cold
   */
  SlowStart(long startedNanos) {
    this.startedNanos = startedNanos;
  }

  @Override
  public double costFactor(Member member, TargetStats stats, long nowNanos) {
    long ageNanos = nowNanos - stats.firstSeenNanos();
    boolean knownFromStart = stats.firstSeenNanos() - startedNanos < RAMP_NANOS;
    if (knownFromStart || ageNanos >= RAMP_NANOS) {
      return 1;
    }
    double progress = (double) ageNanos / RAMP_NANOS;
    return 1 / Math.max(progress, 1 / MAX_FACTOR);
  }
}
