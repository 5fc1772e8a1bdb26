package dev.arbutusroad.core.routing;

import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * Ejects a target from routing after consecutive failed calls (outlier ejection).
 *
 * <p>Failures are broken or refused connections, and timeouts while the target answers no other
 * call. Answers with an error status, and timeouts while other calls are answered, are caused by
 * overload of the target or further down the call graph; ejecting the target for them would remove
 * capacity when it is scarce. At most half of a service's targets are unavailable at once: when
 * most targets fail, the cause is elsewhere, and the remaining targets would be overloaded.
 */
final class Ejection {
  static final int FAILURE_THRESHOLD = 3;
  static final long BASE_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(15);
  private static final int MAX_DOUBLINGS = 5;

  private Ejection() {}

  /**
   * Ejects the target if it has reached the failure threshold and enough other targets remain, or
   * if it failed on probation. The duration doubles with each ejection.
   *
   * @return whether the target was ejected
   */
  static boolean ejectIfFailing(
      TargetStats stats, Collection<TargetStats> serviceTargets, long nowNanos) {
    boolean probation = stats.isOnProbation(nowNanos);
    boolean failing = stats.consecutiveFailures() >= FAILURE_THRESHOLD;
    boolean shouldEject =
        probation
            || (failing
                && !stats.isEjected(nowNanos)
                && allowsAnotherEjection(serviceTargets, nowNanos));
    if (!shouldEject) {
      return false;
    }
    long duration = BASE_EJECTION_NANOS << Math.min(stats.ejections(), MAX_DOUBLINGS);
    stats.eject(nowNanos + Math.min(duration, MAX_EJECTION_NANOS));
    return true;
  }

  /** Returns whether a target is ejected or on probation, where it takes one call at a time. */
  private static boolean isUnavailable(TargetStats stats, long nowNanos) {
    return stats.isEjected(nowNanos) || stats.isOnProbation(nowNanos);
  }

  private static boolean allowsAnotherEjection(
      Collection<TargetStats> serviceTargets, long nowNanos) {
    long unavailable =
        serviceTargets.stream().filter(other -> isUnavailable(other, nowNanos)).count();
    return 2 * (unavailable + 1) <= serviceTargets.size();
  }
}
