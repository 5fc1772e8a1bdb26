package dev.arbutusroad.core.membership;

/** Detects gaps in the monotonic clock between the steps of a member. */
final class PauseDetector {
  /** The classification of the time between two steps. */
  enum Gap {
    /** Ordinary scheduling. */
    NONE,
    /** The step was late: deadlines are extended by the gap. */
    LATE,
    /** The process was suspended: its view of other members may be outdated. */
    PAUSE
  }

  private long lastNanos;
  private long gapNanos;

  PauseDetector(long nowNanos) {
    lastNanos = nowNanos;
  }

  /** Records a step and classifies the time since the previous one. */
  Gap step(long nowNanos) {
    gapNanos = nowNanos - lastNanos;
    lastNanos = nowNanos;
    if (gapNanos >= MembershipTiming.PAUSE_NANOS) {
      return Gap.PAUSE;
    }
    return gapNanos >= MembershipTiming.LATE_STEP_NANOS ? Gap.LATE : Gap.NONE;
  }

  /** Returns the time between the last two steps in nanoseconds. */
  long gapNanos() {
    return gapNanos;
  }

  /** Returns whether a pause has occurred since the last step, before the next step detects it. */
  static boolean isUndetectedPause(long lastStepNanos, long nowNanos) {
    return nowNanos - lastStepNanos >= MembershipTiming.PAUSE_NANOS;
  }
}
