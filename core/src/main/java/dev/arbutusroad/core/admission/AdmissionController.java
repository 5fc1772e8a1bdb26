package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * Starts, queues or refuses the calls to a target.
 *
 * <p>A call below the admission level is refused at once. Any other call starts if fewer calls run
 * than the concurrency limit allows, else it is queued. A queued call is refused when its deadline
 * or its queue timeout passes, when it is evicted or when the level rises above it; so no call
 * waits indefinitely behind more important ones.
 *
 * <p>Not thread-safe: all methods are called on one event loop. Callbacks may call any method.
 */
public final class AdmissionController {
  /** Holds more than a second of calls at the design rate of 153 calls per second. */
  public static final int DEFAULT_QUEUE_CAPACITY = 1_000;

  /** The interval between two adjustments of the admission level. */
  static final long WINDOW_NANOS = 100_000_000L;

  private final ConcurrencyLimit limit;
  private final AdmissionQueue queue;
  private final QueueDelayPolicy delayPolicy = new QueueDelayPolicy();
  private final LevelRegulator regulator = new LevelRegulator();
  private final AdmissionCounts counts = new AdmissionCounts();
  private int inFlight;
  private boolean dispatching;
  private boolean saturated;
  private boolean droppedFromQueue;
  private long windowStartNanos;

  public AdmissionController(ConcurrencyLimit limit, int queueCapacity, long nowNanos) {
    this.limit = Objects.requireNonNull(limit, "limit");
    this.queue = new AdmissionQueue(queueCapacity);
    this.windowStartNanos = nowNanos;
  }

  /** Starts, queues or refuses a new call. Its callback is called before this returns or later. */
  public void submit(AdmissionTicket ticket, long nowNanos) {
    advance(nowNanos);
    regulator.recordArrival(ticket.rank());
    if (ticket.deadlineNanos() - nowNanos <= 0) {
      refuse(ticket, ResultCode.EXPIRED_IN_QUEUE);
    } else if (!regulator.level().admits(ticket.effectiveRank())) {
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
   * @param latencyNanos the time that the call ran at the target
   * @throws IllegalStateException if the call is neither running nor suspended
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
    limit.finished(ticket.sampleTag, latencyNanos, outcome, nowNanos);
    advance(nowNanos);
  }

  /**
   * Releases the slot of a running call while it waits for something other than the target.
   *
   * @throws IllegalStateException if the call is not running
   */
  public void suspend(AdmissionTicket ticket, long nowNanos) {
    requireState(ticket, AdmissionTicket.State.RUNNING);
    ticket.state = AdmissionTicket.State.SUSPENDED;
    inFlight--;
    limit.finished(ticket.sampleTag, 0, CallOutcome.IGNORED, nowNanos);
    advance(nowNanos);
  }

  /**
   * Takes a slot for a suspended call at once, even above the limit, as it was admitted before.
   *
   * @throws IllegalStateException if the call is not suspended
   */
  public void resume(AdmissionTicket ticket) {
    requireState(ticket, AdmissionTicket.State.SUSPENDED);
    ticket.state = AdmissionTicket.State.RUNNING;
    inFlight++;
    ticket.sampleTag = limit.started(inFlight);
  }

  /** Removes a queued call without calling its callback. Other calls are not changed. */
  public void cancel(AdmissionTicket ticket) {
    if (ticket.isQueued()) {
      queue.remove(ticket);
      counts.cancelled++;
    }
  }

  /**
   * Refuses calls that waited too long, adjusts the level if a window has ended, and starts calls.
   */
  public void advance(long nowNanos) {
    Optional<AdmissionTicket> timedOut = queue.pollExpired(nowNanos);
    while (timedOut.isPresent()) {
      AdmissionTicket ticket = timedOut.get();
      boolean expired = ticket.deadlineNanos() - nowNanos <= 0;
      droppedFromQueue = true;
      refuse(ticket, expired ? ResultCode.EXPIRED_IN_QUEUE : ResultCode.SHED);
      timedOut = queue.pollExpired(nowNanos);
    }
    if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
      endWindow(nowNanos);
    }
    dispatch();
  }

  /**
   * Returns when {@link #advance} must be called at the latest; empty if nothing depends on time.
   */
  public Optional<Long> nextTimerNanos() {
    boolean timeDependent = !queue.isEmpty() || regulator.level().rank() > 0;
    if (!timeDependent) {
      return Optional.empty();
    }
    long windowEndNanos = windowStartNanos + WINDOW_NANOS;
    return Optional.of(
        queue
            .nextQueueDeadlineNanos()
            .filter(queueDeadlineNanos -> queueDeadlineNanos - windowEndNanos < 0)
            .orElse(windowEndNanos));
  }

  /** Returns the level in force; calls below it are refused. */
  public AdmissionLevel currentLevel() {
    return regulator.level();
  }

  /** Returns the state for metrics and dumps. */
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
      throw new IllegalStateException("expected ticket state " + state + ", not " + ticket.state);
    }
  }

  private void enqueue(AdmissionTicket ticket, long nowNanos) {
    saturated = true;
    long queueTimeoutNanos =
        delayPolicy.queueTimeoutNanos(queue.isNewestFirst(), limit.meanLatencyNanos());
    long queueDeadlineNanos =
        nowNanos + Math.min(queueTimeoutNanos, ticket.deadlineNanos() - nowNanos);
    Optional<AdmissionTicket> dropped = queue.add(ticket, nowNanos, queueDeadlineNanos);
    dropped.ifPresent(
        droppedTicket -> {
          droppedFromQueue = true;
          refuse(droppedTicket, ResultCode.QUEUE_FULL);
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
    ticket.sampleTag = limit.started(inFlight);
    saturated |= inFlight >= limit.limit();
    regulator.recordStart();
    counts.started++;
    ticket.callback().start();
  }

  private void refuse(AdmissionTicket ticket, ResultCode code) {
    ticket.state = AdmissionTicket.State.CLOSED;
    counts.countRefusal(code);
    ticket.callback().refuse(code);
  }

  private void endWindow(long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    long oldestWaitNanos = queue.oldestWaitNanos(nowNanos);
    boolean overloaded =
        droppedFromQueue || oldestWaitNanos > delayPolicy.setPointNanos(limit.meanLatencyNanos());
    boolean wasSaturated = saturated;
    windowStartNanos = nowNanos;
    droppedFromQueue = false;
    saturated = !queue.isEmpty();
    regulator.endWindow(
        overloaded, wasSaturated, elapsedNanos, (int) (elapsedNanos / WINDOW_NANOS));
    queue.setNewestFirst(overloaded);
    for (AdmissionTicket ticket : queue.removeBelow(regulator.level().rank())) {
      refuse(ticket, ResultCode.SHED);
    }
  }
}
