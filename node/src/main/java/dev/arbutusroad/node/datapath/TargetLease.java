package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetReport;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The lease of the local target, which the target keeps by renewing its announcement.
 *
 * <p>A target whose lease expires without its having left is considered dead. A departure is final
 * for the start of the target that it names, whatever reports arrive later. Owned by the data path.
 */
final class TargetLease {
  private final long durationNanos;
  private final long nodeStartedMillis;
  private Optional<LocalTarget> target = Optional.empty();
  private long renewedNanos;
  private boolean leaving;
  private String instance = "";
  private long startedMillis = Long.MIN_VALUE;
  private long sequence;
  private Optional<Departure> departure = Optional.empty();
  private Optional<TargetReport> unconfirmed = Optional.empty();

  /** Creates the lease of a node before which no other process has run on its host. */
  TargetLease(long durationMillis) {
    this(durationMillis, Long.MIN_VALUE);
  }

  /**
   * Creates a lease without a target.
   *
   * @param nodeStartedMillis the start of the node's process, by the clock of the host. An earlier
   *     process may have acknowledged the departure of a target that started before
   */
  TargetLease(long durationMillis, long nodeStartedMillis) {
    durationNanos = TimeUnit.MILLISECONDS.toNanos(durationMillis);
    this.nodeStartedMillis = nodeStartedMillis;
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
    OUTDATED,
    /** The report may have been delayed, and its target may have left since. */
    UNCONFIRMED
  }

  /**
   * Applies a report. A report of an earlier start, with a sequence number of the same start that
   * is not higher than the last one, or of a start that has left, is outdated; but a report that
   * the target leaves holds however late it arrives, as no start returns from leaving.
   *
   * <p>The first report of a target that is older than the node's process is not applied: it takes
   * a second one with a higher number, or {@link #adopt}.
   */
  Change applyReport(TargetReport report, long nowNanos) {
    boolean isLeaving = report.state() == TargetReport.State.LEAVING;
    boolean isSameStart = isSameStart(report, instance, startedMillis);
    boolean isOutdated =
        report.startedMillis() < startedMillis
            || (!isLeaving && isSameStart && report.sequence() <= sequence)
            || (!isLeaving && departure.filter(known -> known.covers(report)).isPresent());
    if (isOutdated) {
      return Change.OUTDATED;
    }
    if (!isLeaving && !isConfirmed(report)) {
      keepUnconfirmed(report);
      return Change.UNCONFIRMED;
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
    unconfirmed = Optional.empty();
    instance = report.instance();
    startedMillis = report.startedMillis();
    sequence = isSameStart ? Math.max(sequence, report.sequence()) : report.sequence();
    target = Optional.of(reportedTarget);
    renewedNanos = nowNanos;
    leaving = isLeaving;
    if (leaving) {
      departure = Optional.of(new Departure(instance, startedMillis));
      return isKnown && wasLeaving ? Change.UNCHANGED : Change.LEAVING;
    }
    return isKnown && !wasLeaving ? Change.UNCHANGED : Change.SERVING;
  }

  /** Returns whether the node knows that the report's target has not left meanwhile. */
  private boolean isConfirmed(TargetReport report) {
    boolean isSecond =
        unconfirmed
            .filter(
                first ->
                    isSameStart(report, first.instance(), first.startedMillis())
                        && report.sequence() > first.sequence())
            .isPresent();
    return report.startedMillis() >= nodeStartedMillis
        || isSameStart(report, instance, startedMillis)
        || isTarget(report.instance())
        || isSecond;
  }

  /** Keeps the newest of the reports that may be outdated. */
  private void keepUnconfirmed(TargetReport report) {
    boolean isOlder =
        unconfirmed
            .filter(
                newest ->
                    isSameStart(report, newest.instance(), newest.startedMillis())
                        && report.sequence() < newest.sequence())
            .isPresent();
    if (!isOlder) {
      unconfirmed = Optional.of(report);
    }
  }

  private static boolean isSameStart(TargetReport report, String instance, long startedMillis) {
    return report.instance().equals(instance) && report.startedMillis() == startedMillis;
  }

  /**
   * Adopts a target that answered a health check, unless a target has already announced itself: its
   * own reports take precedence.
   *
   * @return whether it is now the local target
   */
  boolean adopt(LocalTarget respondingTarget, long nowNanos) {
    boolean hasLeft =
        departure.filter(known -> known.instance().equals(respondingTarget.instance())).isPresent();
    if (!isUnknown() || hasLeft) {
      return false;
    }
    target = Optional.of(respondingTarget);
    renewedNanos = nowNanos;
    return true;
  }

  /** Returns whether no target is known and none has ever sent a report that was applied. */
  boolean isUnknown() {
    return instance.isEmpty() && !leaving && target.isEmpty();
  }

  /**
   * Marks the target with this id as leaving; further reports of the same start are outdated. The
   * departure is kept also if no target is known yet, as after a restart of the node: a delayed
   * report must not bring the target back.
   *
   * @param nowMillis the time by the clock of the host, which every start that has left precedes
   * @return whether it is the local target and was not leaving before
   */
  boolean endInstance(String leftInstance, long nowMillis) {
    boolean isReported = leftInstance.equals(instance);
    if (!isReported && !isTarget(leftInstance) && !isUnknown()) {
      return false;
    }
    return depart(new Departure(leftInstance, isReported ? startedMillis : nowMillis - 1));
  }

  /**
   * Applies a departure that an earlier process of this node has acknowledged.
   *
   * @return whether it is that of the local target, which was not leaving before
   */
  boolean restore(Departure earlier) {
    boolean isLocal = earlier.instance().equals(instance) || isTarget(earlier.instance());
    return (departure.isEmpty() || isLocal) && depart(earlier);
  }

  private boolean depart(Departure left) {
    boolean hasLeft =
        departure
            .filter(known -> known.covers(left.instance(), left.lastStartMillis()))
            .isPresent();
    boolean isLocal =
        left.instance().equals(instance)
            ? left.covers(instance, startedMillis)
            : isTarget(left.instance());
    if (hasLeft) {
      return false;
    }
    departure = Optional.of(left);
    unconfirmed = unconfirmed.filter(report -> !left.covers(report));
    boolean startsLeaving = isLocal && !leaving;
    leaving |= isLocal;
    return startsLeaving;
  }

  private boolean isTarget(String id) {
    return target.filter(known -> known.instance().equals(id)).isPresent();
  }

  /** Returns the latest departure of a target of this node. */
  Optional<Departure> departure() {
    return departure;
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
