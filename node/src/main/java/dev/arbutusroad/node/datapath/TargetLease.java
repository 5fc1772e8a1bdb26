package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetReport;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The lease of the local target, which the target keeps by renewing its announcement.
 *
 * <p>A target whose lease expires without its having left is considered dead. Owned by the data
 * path.
 */
final class TargetLease {
  private final long durationNanos;
  private Optional<LocalTarget> target = Optional.empty();
  private long renewedNanos;
  private boolean leaving;
  private String instance = "";
  private long startedMillis = Long.MIN_VALUE;
  private long sequence;
  private boolean hasLeft;

  TargetLease(long durationMillis) {
    durationNanos = TimeUnit.MILLISECONDS.toNanos(durationMillis);
  }

  /**
   * Starts or renews the lease after an announcement.
   *
   * @return whether the target was not serving before
   */
  boolean announce(LocalTarget announcedTarget, long nowNanos) {
    boolean startsServing = !target.equals(Optional.of(announcedTarget)) || leaving;
    target = Optional.of(announcedTarget);
    renewedNanos = nowNanos;
    leaving = false;
    return startsServing;
  }

  /** The effect of a report. */
  enum Change {
    /** A target that took no calls before takes calls now. */
    SERVING,
    /** The target has stopped taking new calls. */
    LEAVING,
    /** The report only renewed the lease. */
    UNCHANGED,
    /** The report is older than the current state and was ignored. */
    OUTDATED
  }

  /**
   * Applies a report. A report of an earlier start, or with a sequence number of the same start
   * that is not higher than the last one, is outdated.
   */
  Change applyReport(TargetReport report, long nowNanos) {
    boolean isSameStart =
        report.instance().equals(instance) && report.startedMillis() == startedMillis;
    boolean isOutdated =
        report.startedMillis() < startedMillis || (isSameStart && report.sequence() <= sequence);
    if (isOutdated || (isSameStart && hasLeft)) {
      return Change.OUTDATED;
    }
    LocalTarget reportedTarget =
        new LocalTarget(
            report.instance(),
            report.service(),
            report.address(),
            Optional.empty(),
            Optional.empty());
    boolean wasLeaving = leaving;
    boolean isKnown = isSameStart && target.equals(Optional.of(reportedTarget));
    instance = report.instance();
    startedMillis = report.startedMillis();
    sequence = report.sequence();
    hasLeft = false;
    target = Optional.of(reportedTarget);
    renewedNanos = nowNanos;
    leaving = report.state() == TargetReport.State.LEAVING;
    if (leaving) {
      return isKnown && wasLeaving ? Change.UNCHANGED : Change.LEAVING;
    }
    return isKnown && !wasLeaving ? Change.UNCHANGED : Change.SERVING;
  }

  /**
   * Adopts a target that answered a health check, unless a target has already announced itself: its
   * own reports take precedence.
   *
   * @return whether it is now the local target
   */
  boolean adopt(LocalTarget respondingTarget, long nowNanos) {
    if (!instance.isEmpty() || leaving || target.isPresent()) {
      return false;
    }
    target = Optional.of(respondingTarget);
    renewedNanos = nowNanos;
    return true;
  }

  /** Returns whether no target is known and none has ever sent a report. */
  boolean isUnknown() {
    return instance.isEmpty() && !leaving && target.isEmpty();
  }

  /**
   * Marks the target with this id as leaving; further reports of the same start are outdated.
   *
   * @return whether it is the local target and was not leaving before
   */
  boolean endInstance(String leftInstance) {
    boolean isLocal =
        leftInstance.equals(instance)
            || target.filter(known -> known.instance().equals(leftInstance)).isPresent();
    if (!isLocal || hasLeft) {
      return false;
    }
    hasLeft = true;
    boolean startsLeaving = !leaving;
    leaving = true;
    return startsLeaving;
  }

  /** Marks the local target as leaving: it finishes its calls and receives no new ones. */
  void markLeaving() {
    leaving = true;
  }

  /** Ends the lease immediately, for a target that refuses connections. */
  void revoke() {
    target = Optional.empty();
  }

  /**
   * Ends the lease if it has not been renewed in time. The lease of a leaving target does not
   * expire.
   *
   * @return whether this call ended the lease
   */
  boolean expire(long nowNanos) {
    if (target.isEmpty() || leaving || nowNanos - renewedNanos < durationNanos) {
      return false;
    }
    target = Optional.empty();
    return true;
  }

  Optional<LocalTarget> target() {
    return target;
  }

  boolean isLeaving() {
    return leaving;
  }
}
