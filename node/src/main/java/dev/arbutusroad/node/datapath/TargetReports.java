package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetReport;
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

  private final EventLoopThread thread;
  private final TargetLease lease;
  private final DepartureLog departures;
  private final OverloadControl overload;
  private final TargetListener listener;
  private final Ticker ticker;

  TargetReports(
      EventLoopThread thread,
      TargetLease lease,
      DepartureLog departures,
      OverloadControl overload,
      TargetListener listener,
      Ticker ticker) {
    this.thread = thread;
    this.lease = lease;
    this.departures = departures;
    this.overload = overload;
    this.listener = listener;
    this.ticker = ticker;
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
