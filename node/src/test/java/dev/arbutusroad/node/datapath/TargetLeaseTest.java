package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.edge.TargetReport;
import dev.arbutusroad.core.edge.TargetReport.State;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.node.datapath.TargetLease.Change;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class TargetLeaseTest {
  private static final long LEASE_MILLIS = 4_500;
  private static final long NOW_MILLIS = 1_000;

  private final TargetLease lease = new TargetLease(LEASE_MILLIS);

  /** Guards against a delayed report that makes a leaving target serve again. */
  @Test
  void reportWithALowerSequenceNumberIsOutdated() {
    assertThat(report("a", 10, 1, State.READY)).isEqualTo(Change.SERVING);
    assertThat(report("a", 10, 3, State.LEAVING)).isEqualTo(Change.LEAVING);
    assertThat(report("a", 10, 2, State.READY)).isEqualTo(Change.OUTDATED);
    assertThat(lease.isLeaving()).isTrue();
    assertThat(report("a", 10, 4, State.LEAVING)).isEqualTo(Change.UNCHANGED);
  }

  /** Guards against a delayed report of a target that has been replaced. */
  @Test
  void reportsOfAnEarlierStartAreOutdated() {
    report("old", 10, 9, State.READY);
    assertThat(report("new", 20, 1, State.READY)).isEqualTo(Change.SERVING);
    assertThat(report("old", 10, 10, State.READY)).isEqualTo(Change.OUTDATED);
    assertThat(lease.target().orElseThrow().instance()).isEqualTo("new");
  }

  /** Guards against ignoring all reports of a target that restarted under the same id. */
  @Test
  void restartUnderTheSameIdRestartsTheSequence() {
    report("a", 10, 9, State.LEAVING);
    assertThat(report("a", 20, 1, State.READY)).isEqualTo(Change.SERVING);
    assertThat(lease.isLeaving()).isFalse();
  }

  /** Guards against a delayed report that makes a target serve again after it has left. */
  @Test
  void reportAfterTheTargetHasLeftIsOutdated() {
    report("a", 10, 1, State.READY);
    assertThat(lease.endInstance("b", NOW_MILLIS)).isFalse();
    assertThat(lease.endInstance("a", NOW_MILLIS)).isTrue();
    assertThat(report("a", 10, 2, State.READY)).isEqualTo(Change.OUTDATED);
    assertThat(lease.isLeaving()).isTrue();
  }

  /** Guards against a late health check that overrides what the target has reported. */
  @Test
  void reportsTakePrecedenceOverAHealthCheck() {
    LocalTarget found =
        new LocalTarget(
            "a", "orders", Addresses.of("127.0.0.1", 1), Optional.empty(), Optional.empty());
    assertThat(lease.isUnknown()).isTrue();
    assertThat(lease.adopt(found, 0)).isTrue();
    assertThat(lease.endInstance("a", NOW_MILLIS)).isTrue();
    assertThat(lease.isLeaving()).isTrue();
    assertThat(lease.adopt(found, 0)).isFalse();
    assertThat(report("b", 20, 1, State.READY)).isEqualTo(Change.SERVING);
    assertThat(lease.adopt(found, 0)).isFalse();
    assertThat(lease.target().orElseThrow().instance()).isEqualTo("b");
  }

  /** Guards against sending calls to a target that has stopped reporting. */
  @Test
  void leaseExpiresWithoutReports() {
    report("a", 10, 1, State.READY);
    assertThat(lease.expire(TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS - 1))).isFalse();
    assertThat(lease.expire(TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS))).isTrue();
    assertThat(lease.target()).isEmpty();
  }

  /** Guards against a delayed report that a restarted node takes for the state of its target. */
  @Test
  void firstReportOfAnOlderTargetWaitsForAnother() {
    TargetLease restarted = new TargetLease(LEASE_MILLIS, NOW_MILLIS);
    TargetReport first = report("a", NOW_MILLIS - 1, 7);
    assertThat(restarted.applyReport(first, 0)).isEqualTo(Change.UNCONFIRMED);
    assertThat(restarted.applyReport(report("a", NOW_MILLIS - 1, 6), 0))
        .isEqualTo(Change.UNCONFIRMED);
    assertThat(restarted.applyReport(first, 0)).isEqualTo(Change.UNCONFIRMED);
    assertThat(restarted.target()).isEmpty();
    assertThat(restarted.applyReport(report("a", NOW_MILLIS - 1, 8), 0)).isEqualTo(Change.SERVING);
  }

  @Test
  void firstReportOfAnAdoptedOrYoungerTargetIsApplied() {
    TargetLease restarted = new TargetLease(LEASE_MILLIS, NOW_MILLIS);
    assertThat(restarted.adopt(target("a"), 0)).isTrue();
    assertThat(restarted.applyReport(report("a", NOW_MILLIS - 1, 7), 0)).isEqualTo(Change.SERVING);
    TargetLease other = new TargetLease(LEASE_MILLIS, NOW_MILLIS);
    assertThat(other.applyReport(report("a", NOW_MILLIS, 1), 0)).isEqualTo(Change.SERVING);
  }

  /** Guards against a departure that is acknowledged and forgotten by a node that just started. */
  @Test
  void departureBeforeTheFirstReportIsKept() {
    assertThat(lease.endInstance("a", NOW_MILLIS)).isFalse();
    assertThat(report("a", NOW_MILLIS - 1, 7, State.READY)).isEqualTo(Change.OUTDATED);
    assertThat(lease.adopt(target("a"), 0)).isFalse();
    assertThat(report("a", NOW_MILLIS, 1, State.READY)).isEqualTo(Change.SERVING);
  }

  @Test
  void departureOfAnAdoptedTargetIsKept() {
    lease.adopt(target("a"), 0);
    assertThat(lease.endInstance("a", NOW_MILLIS)).isTrue();
    assertThat(report("a", NOW_MILLIS - 1, 7, State.READY)).isEqualTo(Change.OUTDATED);
    assertThat(lease.isLeaving()).isTrue();
  }

  /** Guards against a departure of which only the process knew that has ended since. */
  @Test
  void departureOfAnEarlierProcessIsRestored() {
    TargetLease restarted = new TargetLease(LEASE_MILLIS, NOW_MILLIS);
    restarted.applyReport(report("a", 10, 7), 0);
    restarted.applyReport(report("a", 10, 8), 0);
    assertThat(restarted.restore(new Departure("b", 10))).isFalse();
    assertThat(restarted.isLeaving()).isFalse();
    assertThat(restarted.restore(new Departure("a", 9))).isFalse();
    assertThat(restarted.restore(new Departure("a", 10))).isTrue();
    assertThat(restarted.isLeaving()).isTrue();
    assertThat(restarted.applyReport(report("a", 10, 9), 0)).isEqualTo(Change.OUTDATED);
  }

  /** Guards against reports that overtake each other on their way to the node. */
  @Test
  void leavingIsFinalWhateverTheOrderOfReports() {
    report("a", 10, 5, State.READY);
    assertThat(report("a", 10, 4, State.LEAVING)).isEqualTo(Change.LEAVING);
    assertThat(report("a", 10, 6, State.READY)).isEqualTo(Change.OUTDATED);
    assertThat(lease.isLeaving()).isTrue();
  }

  private static LocalTarget target(String instance) {
    return new LocalTarget(
        instance, "orders", Addresses.of("127.0.0.1", 1), Optional.empty(), Optional.empty());
  }

  private static TargetReport report(String instance, long started, long sequence) {
    return new TargetReport(
        instance, "orders", Addresses.of("127.0.0.1", 80), started, sequence, State.READY, 1, 0);
  }

  private Change report(String instance, long started, long sequence, State state) {
    return lease.applyReport(
        new TargetReport(
            instance, "orders", Addresses.of("127.0.0.1", 80), started, sequence, state, 1, 0),
        0);
  }
}
