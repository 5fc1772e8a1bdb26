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
 * Decides when calls may run on the local target: checks them against the requests suspected of
 * crashing targets, then passes them to the admission controller.
 *
 * <p>A suspect that has to wait for another one is parked outside the admission queue, so that it
 * does not block other calls. Not thread-safe: it belongs to the event loop of the data path.
 */
final class GateAdmission {
  /** Bounds memory use; the crash of a target leaves at most about a hundred suspects. */
  private static final int MAX_PARKED = 1_000;

  private final AdmissionController controller;
  private final FatalRequests fatal;
  private final Ticker ticker;
  private final Set<PendingCall> parked = new LinkedHashSet<>();

  GateAdmission(AdmissionController controller, FatalRequests fatal, Ticker ticker) {
    this.controller = controller;
    this.fatal = fatal;
    this.ticker = ticker;
  }

  /** Returns the state of the admission controller, for logs. */
  AdmissionSnapshot snapshot() {
    return controller.snapshot(ticker.nanos());
  }

  /** Returns the admission level in force. */
  AdmissionLevel level() {
    return controller.currentLevel();
  }

  /**
   * Requests admission for a call.
   *
   * @param listener receives the decision once, possibly before this method returns; not called
   *     after the wait is cancelled
   * @return a handle that cancels the wait
   */
  Cancellable admit(
      CallContext context,
      Fingerprint fingerprint,
      long deadlineNanos,
      AdmissionListener listener) {
    PendingCall pending = new PendingCall(context, fingerprint, deadlineNanos, listener);
    pending.tryRun();
    return pending;
  }

  /**
   * Evaluates broken connections, expires queued calls and retries parked ones; call it every few
   * milliseconds.
   */
  void tick() {
    long now = ticker.nanos();
    fatal.evaluateBrokenRequests(now);
    controller.advance(now);
    wakeParked();
  }

  /** Returns the number of suspects that wait for the one in flight. */
  int parked() {
    return parked.size();
  }

  /** Requests admission again for every parked call. */
  void wakeParked() {
    if (parked.isEmpty()) {
      return;
    }
    for (PendingCall pending : List.copyOf(parked)) {
      if (parked.remove(pending)) {
        pending.tryRun();
      }
    }
  }

  /** Receives the decision on one request for admission. */
  interface AdmissionListener {
    /** The call may run; the slot must be released when the call has ended. */
    void admitted(Slot slot);

    /** The call may not run. */
    void refused(Failure failure);
  }

  private final class PendingCall implements AdmissionCallback, Cancellable {
    private final CallContext context;
    private final Fingerprint fingerprint;
    private final long deadlineNanos;
    private final AdmissionListener listener;
    private AdmissionTicket ticket;

    PendingCall(
        CallContext context,
        Fingerprint fingerprint,
        long deadlineNanos,
        AdmissionListener listener) {
      this.listener = listener;
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
        listener.admitted(new Slot(ticket, fingerprint, now));
      } else {
        controller.release(ticket, 0, CallOutcome.IGNORED, now);
        tryRun();
      }
    }

    @Override
    public void refuse(ResultCode code) {
      listener.refused(Failure.of(code));
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

  /** The right to run one call on the target; only the first release has an effect. */
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

    /** Frees the place for other calls while this one does not wait for the target. */
    void suspend() {
      controller.suspend(ticket, ticker.nanos());
    }

    /**
     * Takes a place again, even above the limit: refusing the call now would waste the claim that
     * has been made for it.
     */
    void resume() {
      startedNanos = ticker.nanos();
      controller.resume(ticket);
    }

    /** Releases the slot of a call that the target answered to the last byte. */
    void completed() {
      release(CallOutcome.ANSWERED, true);
    }

    /** Releases the slot of a call that the target refused or that passed its deadline. */
    void overloaded() {
      release(CallOutcome.OVERLOADED, false);
    }

    /** Releases the slot of a call whose end says nothing about the target. */
    void abandoned() {
      release(CallOutcome.IGNORED, false);
    }

    /** Returns whether the request is suspected or known to crash targets. */
    boolean isImplicated() {
      fatal.evaluateBrokenRequests(ticker.nanos());
      return fatal.isSuspectOrMarked(fingerprint, ticker.nanos());
    }

    /** Releases the slot of a call whose connection broke after the request was sent. */
    void connectionBroken() {
      if (!released) {
        fatal.connectionBroken(fingerprint, ticker.nanos());
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
