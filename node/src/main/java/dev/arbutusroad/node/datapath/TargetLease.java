package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetReport;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The local target for as long as it renews its announcement.
 *
 * <p>A target that stops renewing without leaving is taken as dead. Owned by the data path.
 */
final class TargetLease {
  private final long durationNanos;
  private Optional<LocalTarget> target = Optional.empty();
  private long renewedNanos;
  private boolean leaving;
  private String instance = "";
  private long startedMillis = Long.MIN_VALUE;
  private long sequence;
  private boolean ended;

  TargetLease(long durationMillis) {
    durationNanos = TimeUnit.MILLISECONDS.toNanos(durationMillis);
  }

  /**
   * Starts or renews the lease.
   *
   * @return whether the target was not serving before
   */
  boolean announce(LocalTarget announced, long nowNanos) {
    boolean isNew = !target.equals(Optional.of(announced)) || leaving;
    target = Optional.of(announced);
    renewedNanos = nowNanos;
    leaving = false;
    return isNew;
  }

  /** What a report has changed. */
  enum Change {
    /** A target takes calls that did not before. */
    SERVING,
    /** The target takes no new calls any more. */
    LEAVING,
    /** The lease is renewed. */
    UNCHANGED,
    /** The report is older than what is known; it changes nothing. */
    OUTDATED
  }

  /** Takes in a report; an earlier start, or an earlier report of the same start, is outdated. */
  Change applyReport(TargetReport report, long nowNanos) {
    boolean sameStart =
        report.instance().equals(instance) && report.startedMillis() == startedMillis;
    boolean outdated =
        report.startedMillis() < startedMillis || (sameStart && report.sequence() <= sequence);
    if (outdated || (sameStart && ended)) {
      return Change.OUTDATED;
    }
    LocalTarget reported =
        new LocalTarget(
            report.instance(),
            report.service(),
            report.address(),
            Optional.empty(),
            Optional.empty());
    boolean wasLeaving = leaving;
    boolean wasKnown = sameStart && target.equals(Optional.of(reported));
    instance = report.instance();
    startedMillis = report.startedMillis();
    sequence = report.sequence();
    ended = false;
    target = Optional.of(reported);
    renewedNanos = nowNanos;
    leaving = report.state() == TargetReport.State.LEAVING;
    if (leaving) {
      return wasKnown && wasLeaving ? Change.UNCHANGED : Change.LEAVING;
    }
    return wasKnown && !wasLeaving ? Change.UNCHANGED : Change.SERVING;
  }

  /**
   * A target was found by a health check; its own reports are newer than that, whatever they say.
   *
   * @return whether it is taken as the local target
   */
  boolean adopt(LocalTarget answering, long nowNanos) {
    if (!instance.isEmpty() || leaving || target.isPresent()) {
      return false;
    }
    target = Optional.of(answering);
    renewedNanos = nowNanos;
    return true;
  }

  /** Whether no target has ever announced itself or been found. */
  boolean isUnknown() {
    return instance.isEmpty() && !leaving && target.isEmpty();
  }

  /**
   * The target of this id has said that it leaves; later reports of that start are outdated.
   *
   * @return whether it was the local target and was not leaving before
   */
  boolean endInstance(String leavingInstance) {
    boolean local =
        leavingInstance.equals(instance)
            || target.filter(known -> known.instance().equals(leavingInstance)).isPresent();
    if (!local || ended) {
      return false;
    }
    ended = true;
    boolean isNew = !leaving;
    leaving = true;
    return isNew;
  }

  /** Marks the target as leaving: it finishes its calls and gets no new ones. */
  void markLeaving() {
    leaving = true;
  }

  /** Ends the lease at once, for a target that refuses connections. */
  void revoke() {
    target = Optional.empty();
  }

  /**
   * Ends the lease of a target that has not renewed it.
   *
   * @return whether the lease has ended by this call
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
