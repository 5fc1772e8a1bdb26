package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionCallback;
import dev.arbutusroad.core.admission.AdmissionController;
import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.admission.AdmissionSnapshot;
import dev.arbutusroad.core.admission.AdmissionTicket;
import dev.arbutusroad.core.admission.CallOutcome;
import dev.arbutusroad.core.fatal.FatalRequests;
import dev.arbutusroad.core.fatal.FatalRequests.Verdict;
import dev.arbutusroad.core.fatal.Fingerprint;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.time.Ticker;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Lets calls run on the local target: first past the isolation of suspects, then past admission.
 *
 * <p>A suspect that has to wait for another one is parked without a place in the queue, so that it
 * holds up no other call. Owned by the data path.
 */
final class GateAdmission {
  /** Bounds the memory; a target that dies makes at most about a hundred suspects. */
  private static final int MAX_PARKED = 1_000;

  private final AdmissionController controller;
  private final FatalRequests fatal;
  private final Ticker ticker;
  private final Set<Pending> parked = new LinkedHashSet<>();

  GateAdmission(AdmissionController controller, FatalRequests fatal, Ticker ticker) {
    this.controller = controller;
    this.fatal = fatal;
    this.ticker = ticker;
  }

  /** The state for logs. */
  AdmissionSnapshot snapshot() {
    return controller.snapshot(ticker.nanos());
  }

  /** The level in force. */
  AdmissionLevel level() {
    return controller.currentLevel();
  }

  /**
   * Waits until the call may run. The slot must be released when the call has ended.
   *
   * @param call takes the decision; called once, perhaps before this method returns, unless the
   *     wait is cancelled
   * @return cancels the wait
   */
  Cancellable admit(
      CallContext context, Fingerprint fingerprint, long deadlineNanos, Applicant call) {
    Pending pending = new Pending(context, fingerprint, deadlineNanos, call);
    pending.tryRun();
    return pending;
  }

  /** Does what time brings; to be called every few milliseconds. */
  void tick() {
    long now = ticker.nanos();
    fatal.settle(now);
    controller.advance(now);
    wakeParked();
  }

  /** Calls that wait for a suspect in flight. */
  int parked() {
    return parked.size();
  }

  /** Tries again the parked calls whose turn may have come. */
  void wakeParked() {
    if (parked.isEmpty()) {
      return;
    }
    for (Pending pending : List.copyOf(parked)) {
      if (parked.remove(pending)) {
        pending.tryRun();
      }
    }
  }

  /** A call that asks for admission. */
  interface Applicant {
    /** The call may run; the slot must be released when it has ended. */
    void admitted(Slot slot);

    /** The call may not run. */
    void refused(Failure failure);
  }

  private final class Pending implements AdmissionCallback, Cancellable {
    private final CallContext context;
    private final Fingerprint fingerprint;
    private final long deadlineNanos;
    private final Applicant call;
    private AdmissionTicket ticket;

    Pending(CallContext context, Fingerprint fingerprint, long deadlineNanos, Applicant call) {
      this.call = call;
      this.context = context;
      this.fingerprint = fingerprint;
      this.deadlineNanos = deadlineNanos;
    }

    void tryRun() {
      long now = ticker.nanos();
      Verdict verdict = fatal.check(fingerprint, now);
      if (deadlineNanos - now <= 0) {
        refuse(ResultCode.EXPIRED_IN_QUEUE);
      } else if (verdict == Verdict.REFUSE) {
        refuse(ResultCode.FATAL_REQUEST);
      } else if (verdict == Verdict.WAIT) {
        park();
      } else {
        ticket =
            new AdmissionTicket(
                context.importance(), context.originId(), context.isChild(), deadlineNanos, this);
        controller.submit(ticket, now);
      }
    }

    private void park() {
      if (parked.size() >= MAX_PARKED) {
        refuse(ResultCode.QUEUE_FULL);
      } else {
        parked.add(this);
      }
    }

    @Override
    public void start() {
      long now = ticker.nanos();
      if (fatal.begin(fingerprint, now) == Verdict.RUN) {
        call.admitted(new Slot(ticket, fingerprint, now));
      } else {
        controller.release(ticket, 0, CallOutcome.IGNORED, now);
        tryRun();
      }
    }

    @Override
    public void refuse(ResultCode code) {
      call.refused(Failure.of(code));
    }

    @Override
    public void cancel() {
      if (!parked.isEmpty()) {
        parked.remove(this);
      }
      if (ticket != null) {
        controller.cancel(ticket);
      }
    }
  }

  /** The right to run one call on the target; released once. */
  final class Slot {
    private final AdmissionTicket ticket;
    private final Fingerprint fingerprint;
    private long startedNanos;
    private boolean released;

    private Slot(AdmissionTicket ticket, Fingerprint fingerprint, long startedNanos) {
      this.ticket = ticket;
      this.fingerprint = fingerprint;
      this.startedNanos = startedNanos;
    }

    /** Gives the place to other calls while this one waits for something but the target. */
    void suspend() {
      controller.suspend(ticket, ticker.nanos());
    }

    /** Takes a place again, above the limit if need be: the call has cost a claim already. */
    void resume() {
      startedNanos = ticker.nanos();
      controller.resume(ticket);
    }

    /** The target answered to the last byte. */
    void completed() {
      release(CallOutcome.ANSWERED, true);
    }

    /** The target refused, or the deadline passed. */
    void overloaded() {
      release(CallOutcome.OVERLOADED, false);
    }

    /** The call ended for a reason that says nothing about the target. */
    void abandoned() {
      release(CallOutcome.IGNORED, false);
    }

    /** Whether the call may have crashed its target. */
    boolean isImplicated() {
      fatal.settle(ticker.nanos());
      return fatal.isImplicated(fingerprint, ticker.nanos());
    }

    /** The connection to the target broke while it had the request. */
    void broken() {
      if (!released) {
        fatal.broken(fingerprint, ticker.nanos());
        release(CallOutcome.IGNORED, false);
      }
    }

    private void release(CallOutcome outcome, boolean completed) {
      if (released) {
        return;
      }
      released = true;
      long now = ticker.nanos();
      fatal.finish(fingerprint, completed, now);
      controller.release(ticket, now - startedNanos, outcome, now);
      if (!parked.isEmpty()) {
        wakeParked();
      }
    }
  }
}
