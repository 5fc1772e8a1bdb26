package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which calls run at a target, which wait and which are refused.
 *
 * <p>A call below the admission level is refused at once. Another one starts if fewer calls run
 * than the concurrency limit allows, else it waits in the queue. A waiting call leaves when it is
 * started, cancelled, evicted, expired, below a raised level, or has waited longer than its
 * patience; so no call that is admitted waits for ever behind more important ones.
 *
 * <p>Not thread-safe: it belongs to one event loop. Callbacks may call any method.
 */
public final class AdmissionController {
  /** Room for about a second of calls at the design rate of 153 calls a second and more. */
  public static final int DEFAULT_QUEUE_CAPACITY = 1_000;

  static final long WINDOW_NANOS = 100_000_000L;

  private final ConcurrencyLimit limit;
  private final AdmissionQueue queue;
  private final QueueDelay delay = new QueueDelay();
  private final LevelRegulator regulator = new LevelRegulator();
  private final AdmissionCounts counts = new AdmissionCounts();
  private int inFlight;
  private boolean dispatching;
  private boolean saturated;
  private boolean forcedOut;
  private long windowStartNanos;

  public AdmissionController(ConcurrencyLimit limit, int queueCapacity, long nowNanos) {
    this.limit = Objects.requireNonNull(limit, "limit");
    this.queue = new AdmissionQueue(queueCapacity);
    this.windowStartNanos = nowNanos;
  }

  /** Offers a new call; its waiter is called now or later. */
  public void submit(AdmissionTicket ticket, long nowNanos) {
    advance(nowNanos);
    regulator.offered(ticket.rank());
    if (ticket.deadlineNanos() - nowNanos <= 0) {
      refuse(ticket, ResultCode.EXPIRED_IN_QUEUE);
    } else if (!regulator.level().admits(ticket.shedRank())) {
      refuse(ticket, ResultCode.SHED);
    } else if (queue.isEmpty() && inFlight < limit.limit()) {
      start(ticket);
    } else {
      enqueue(ticket, nowNanos);
    }
  }

  /**
   * Ends a call that was started.
   *
   * @param latencyNanos the time that the target took
   */
  public void release(
      AdmissionTicket ticket, long latencyNanos, CallOutcome outcome, long nowNanos) {
    if (ticket.state == AdmissionTicket.State.SUSPENDED) {
      ticket.state = AdmissionTicket.State.CLOSED;
      return;
    }
    requireState(ticket, AdmissionTicket.State.RUNNING);
    ticket.state = AdmissionTicket.State.CLOSED;
    inFlight--;
    limit.finished(ticket.limitMark, latencyNanos, outcome, nowNanos);
    advance(nowNanos);
  }

  /** Gives the place of a started call to others while it waits for something but the target. */
  public void suspend(AdmissionTicket ticket, long nowNanos) {
    requireState(ticket, AdmissionTicket.State.RUNNING);
    ticket.state = AdmissionTicket.State.SUSPENDED;
    inFlight--;
    limit.finished(ticket.limitMark, 0, CallOutcome.IGNORED, nowNanos);
    advance(nowNanos);
  }

  /** Takes a place for a suspended call at once, even above the limit: it was admitted before. */
  public void resume(AdmissionTicket ticket) {
    requireState(ticket, AdmissionTicket.State.SUSPENDED);
    ticket.state = AdmissionTicket.State.RUNNING;
    inFlight++;
    ticket.limitMark = limit.started(inFlight);
  }

  /** Removes a waiting call without a callback. A call that does not wait is left alone. */
  public void cancel(AdmissionTicket ticket) {
    if (ticket.isQueued()) {
      queue.remove(ticket);
      counts.cancelled++;
    }
  }

  /** Does what time brings: refuses calls that waited too long, moves the level, starts calls. */
  public void advance(long nowNanos) {
    Optional<AdmissionTicket> due = queue.pollDue(nowNanos);
    while (due.isPresent()) {
      AdmissionTicket ticket = due.get();
      boolean expired = ticket.deadlineNanos() - nowNanos <= 0;
      forcedOut = true;
      refuse(ticket, expired ? ResultCode.EXPIRED_IN_QUEUE : ResultCode.SHED);
      due = queue.pollDue(nowNanos);
    }
    if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
      endWindow(nowNanos);
    }
    dispatch();
  }

  /** When {@link #advance} must be called at the latest; empty if nothing depends on time. */
  public Optional<Long> nextTimerNanos() {
    boolean moving = !queue.isEmpty() || regulator.level().rank() > 0;
    if (!moving) {
      return Optional.empty();
    }
    long windowEndNanos = windowStartNanos + WINDOW_NANOS;
    return Optional.of(
        queue
            .nextLeaveNanos()
            .filter(leaveNanos -> leaveNanos - windowEndNanos < 0)
            .orElse(windowEndNanos));
  }

  /** The level in force: calls below it are refused. */
  public AdmissionLevel currentLevel() {
    return regulator.level();
  }

  /** The state for metrics and dumps. */
  public AdmissionSnapshot snapshot(long nowNanos) {
    return new AdmissionSnapshot(
        limit.limit(),
        inFlight,
        queue.size(),
        queue.oldestWaitNanos(nowNanos),
        queue.isNewestFirst(),
        regulator.level(),
        limit.meanLatencyNanos(),
        counts.started,
        counts.shed,
        counts.queueFull,
        counts.expired,
        counts.cancelled);
  }

  private static void requireState(AdmissionTicket ticket, AdmissionTicket.State state) {
    if (ticket.state != state) {
      throw new IllegalStateException("the ticket is not " + state + " but " + ticket.state);
    }
  }

  private void enqueue(AdmissionTicket ticket, long nowNanos) {
    saturated = true;
    long patienceNanos = delay.patienceNanos(queue.isNewestFirst(), limit.meanLatencyNanos());
    long leaveNanos = nowNanos + Math.min(patienceNanos, ticket.deadlineNanos() - nowNanos);
    Optional<AdmissionTicket> victim = queue.add(ticket, nowNanos, leaveNanos);
    victim.ifPresent(
        evicted -> {
          forcedOut = true;
          refuse(evicted, ResultCode.QUEUE_FULL);
        });
  }

  private void dispatch() {
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      while (inFlight < limit.limit()) {
        Optional<AdmissionTicket> next = queue.poll();
        if (next.isEmpty()) {
          return;
        }
        start(next.get());
      }
    } finally {
      dispatching = false;
    }
  }

  private void start(AdmissionTicket ticket) {
    inFlight++;
    ticket.state = AdmissionTicket.State.RUNNING;
    ticket.limitMark = limit.started(inFlight);
    saturated |= inFlight >= limit.limit();
    regulator.started();
    counts.started++;
    ticket.waiter().start();
  }

  private void refuse(AdmissionTicket ticket, ResultCode code) {
    ticket.state = AdmissionTicket.State.CLOSED;
    counts.refused(code);
    ticket.waiter().refuse(code);
  }

  private void endWindow(long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    long oldestWaitNanos = queue.oldestWaitNanos(nowNanos);
    boolean overloaded =
        forcedOut || oldestWaitNanos > delay.setPointNanos(limit.meanLatencyNanos());
    boolean wasSaturated = saturated;
    windowStartNanos = nowNanos;
    forcedOut = false;
    saturated = !queue.isEmpty();
    regulator.endWindow(
        overloaded, wasSaturated, elapsedNanos, (int) (elapsedNanos / WINDOW_NANOS));
    queue.setNewestFirst(overloaded);
    for (AdmissionTicket ticket : queue.removeBelow(regulator.level().rank())) {
      refuse(ticket, ResultCode.SHED);
    }
  }
}
