package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetReport;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.EventLoopThread;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Applies the reports and departures of the local target to its lease. A departure is recorded
 * before it is acknowledged, so that it also binds a later process of this node.
 */
final class TargetReports {
  /** Targets call another node if an acknowledgement takes longer than a second. */
  private static final long MAX_RECORD_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How far the clock of a target on the same host may be ahead, for example while it is set. */
  private static final long MAX_CLOCK_DIFFERENCE_MILLIS = TimeUnit.MINUTES.toMillis(1);

  private final EventLoopThread thread;
  private final TargetLease lease;
  private final DepartureLog departures;
  private final OverloadControl overload;
  private final TargetListener listener;
  private final Ticker ticker;
  private final Optional<String> expectedService;

  /**
   * Creates an instance without reports.
   *
   * @param expectedService the service of the local target, if it is known from the settings
   */
  TargetReports(
      EventLoopThread thread,
      TargetLease lease,
      DepartureLog departures,
      OverloadControl overload,
      TargetListener listener,
      Ticker ticker,
      Optional<String> expectedService) {
    this.thread = thread;
    this.lease = lease;
    this.departures = departures;
    this.overload = overload;
    this.listener = listener;
    this.ticker = ticker;
    this.expectedService = expectedService;
  }

  /**
   * Returns why a report can't be that of the local target. Applied, it would make the reports of
   * the local target look outdated.
   */
  Optional<Failure> rejection(TargetReport report) {
    if (expectedService.filter(service -> !service.equals(report.service())).isPresent()) {
      return Optional.of(
          new Failure(ResultCode.BAD_REQUEST, "the report names another service than this node"));
    }
    if (report.startedMillis() > System.currentTimeMillis() + MAX_CLOCK_DIFFERENCE_MILLIS) {
      return Optional.of(
          new Failure(ResultCode.BAD_REQUEST, "the report names a start in the future"));
    }
    return Optional.empty();
  }

  /**
   * Applies a state report.
   *
   * @param acknowledge sends the acknowledgement: called at once, or after a departure has been
   *     recorded, but without waiting long for that
   * @return whether a health check is needed, as the report may be outdated
   */
  boolean report(TargetReport report, Runnable acknowledge) {
    Optional<Departure> departureBefore = lease.departure();
    TargetLease.Change change = lease.applyReport(report, ticker.nanos());
    switch (change) {
      case SERVING -> {
        overload.announceSlots(report.slots());
        listener.serving(report.service());
      }
      case LEAVING -> listener.leaving();
      case UNCHANGED -> overload.announceSlots(report.slots());
      case UNCONFIRMED -> restoreDeparture();
      case OUTDATED -> {}
    }
    recordDeparture(departureBefore, acknowledge);
    return change == TargetLease.Change.UNCONFIRMED;
  }

  /**
   * Marks the target with this id as leaving; for a target that did not report it.
   *
   * @param acknowledge as for {@link #report}
   */
  void left(String instance, Runnable acknowledge) {
    Optional<Departure> departureBefore = lease.departure();
    if (lease.endInstance(instance, System.currentTimeMillis())) {
      listener.leaving();
    }
    recordDeparture(departureBefore, acknowledge);
  }

  /** Announces a target that has answered a health check and has sent no report yet. */
  void adopted(String service) {
    listener.serving(service);
    restoreDeparture();
  }

  /** Applies the departure that an earlier process of this node has recorded, if any. */
  private void restoreDeparture() {
    departures.read(
        earlier -> {
          if (earlier.filter(lease::restore).isPresent()) {
            listener.leaving();
          }
        });
  }

  private void recordDeparture(Optional<Departure> before, Runnable acknowledge) {
    Optional<Departure> departure = lease.departure();
    if (departure.isEmpty() || departure.equals(before)) {
      acknowledge.run();
      return;
    }
    OnceOnly acknowledgement = new OnceOnly(acknowledge);
    var unused = thread.after(MAX_RECORD_WAIT_NANOS, acknowledgement);
    departures.record(departure.orElseThrow(), acknowledgement);
  }

  /** Runs a task on the first of several calls. */
  private static final class OnceOnly implements Runnable {
    private final Runnable task;
    private boolean done;

    OnceOnly(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (!done) {
        done = true;
        task.run();
      }
    }
  }
}
