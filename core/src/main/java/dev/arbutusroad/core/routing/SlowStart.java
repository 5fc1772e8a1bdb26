package dev.arbutusroad.core.routing;

import dev.arbutusroad.core.membership.Member;
import java.util.concurrent.TimeUnit;

/** Ramps up the calls to a target that was first seen recently, so that it can warm up. */
final class SlowStart implements CostFactor {
  /**
   * Targets are slow for about 3 s after their start. A longer ramp would waste capacity when a
   * node is replaced while its target stays warm.
   */
  static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * The cost factor at the start of the ramp; a cold target is about twice as slow as a warm one.
   */
  static final double MAX_COST_FACTOR = 3;

  private final long startedNanos;

  /**
   * Creates the rule.
   *
   * @param startedNanos when this node started; targets first seen within the ramp time after it
   *     count as warm
   */
  SlowStart(long startedNanos) {
    this.startedNanos = startedNanos;
  }

  @Override
  public double costFactor(Member member, TargetStats stats, long nowNanos) {
    long ageNanos = nowNanos - stats.firstSeenNanos();
    boolean seenAtStart = stats.firstSeenNanos() - startedNanos < RAMP_NANOS;
    if (seenAtStart || ageNanos >= RAMP_NANOS) {
      return 1;
    }
    double progress = (double) ageNanos / RAMP_NANOS;
    return 1 / Math.max(progress, 1 / MAX_COST_FACTOR);
  }
}
