package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.time.Ticker;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscUnboundedArrayQueue;
import org.tinylog.Logger;

/** Runs the thread that owns all claims of the node; claims are passed to it through a queue. */
public final class ClaimsDuty implements Claims, AutoCloseable {
  /** Capacity for orders that wait for the thread; few are expected, as it never blocks. */
  static final int RING_CAPACITY = 1024;

  private static final int EVENT_CHUNK_SIZE = 256;
  private static final long MAX_PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time limit for open settlements on close: lets a store that is up answer at least once. */
  private static final long CLOSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final MpscArrayQueue<Runnable> claimQueue = new MpscArrayQueue<>(RING_CAPACITY);

  /**
   * Results of store operations and reports of ended orders. The queue is unbounded because none
   * may be dropped; their number is bounded by the attempts, settlements and running orders.
   */
  private final MpscUnboundedArrayQueue<Runnable> eventQueue =
      new MpscUnboundedArrayQueue<>(EVENT_CHUNK_SIZE);

  private final ClaimsCounters counters = new ClaimsCounters();
  private final ClaimsEngine engine;
  private final Ticker ticker;
  private final Thread thread;
  private volatile boolean closing;

  private ClaimsDuty(
      ClaimsIdentity identity, TableService table, Ticker ticker, InstantSource clock) {
    this.ticker = ticker;
    this.engine =
        new ClaimsEngine(
            identity, table, ticker, clock, new SecureRandom(), this::enqueue, counters);
    this.thread = new Thread(this::loop, "claims");
  }

  /** Starts the thread. */
  public static ClaimsDuty start(ClaimsIdentity identity, TableService table, Ticker ticker) {
    ClaimsDuty duty = new ClaimsDuty(identity, table, ticker, InstantSource.system());
    duty.thread.start();
    return duty;
  }

  @Override
  public CompletableFuture<ClaimDecision> claim(
      String service, String key, long deadlineNanos, Executor executor) {
    CompletableFuture<ClaimDecision> future = new CompletableFuture<>();
    ClaimReply reply = new ClaimReply(future, executor, counters);
    if (closing || !claimQueue.offer(() -> engine.claim(service, key, deadlineNanos, reply))) {
      counters.rejected.increment();
      reply.refuse(
          new Failure(
              ResultCode.PLATFORM_UNAVAILABLE,
              closing ? "the node is shutting down" : "too many orders wait to be claimed"));
      return future;
    }
    LockSupport.unpark(thread);
    return future;
  }

  /** Returns the counters of claims and store operations. */
  public ClaimsCounters counters() {
    return counters;
  }

  /**
   * Refuses further claims and stops the thread once no claim is open and the final states are
   * written, or after a time limit of a few seconds.
   */
  @Override
  public void close() {
    closing = true;
    LockSupport.unpark(thread);
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void enqueue(Runnable event) {
    eventQueue.offer(event);
    LockSupport.unpark(thread);
  }

  private void loop() {
    long closeDeadlineNanos = 0;
    while (true) {
      if (closing) {
        long nowNanos = ticker.nanos();
        if (closeDeadlineNanos == 0) {
          closeDeadlineNanos = nowNanos + CLOSE_TIMEOUT_NANOS;
        }
        if (engine.isIdle() && claimQueue.isEmpty() && eventQueue.isEmpty()) {
          return;
        }
        if (nowNanos - closeDeadlineNanos >= 0) {
          Logger.warn("event=claims_closed_with_open_settlements");
          return;
        }
      }
      drain(eventQueue);
      drain(claimQueue);
      step(engine::runDue);
      if (eventQueue.isEmpty() && claimQueue.isEmpty()) {
        LockSupport.parkNanos(engine.untilNextNanos(MAX_PARK_NANOS));
      }
    }
  }

  private static void drain(Queue<Runnable> queue) {
    for (Runnable task = queue.poll(); task != null; task = queue.poll()) {
      step(task);
    }
  }

  /** Runs one step; an exception in it must not end the thread that serves all other orders. */
  private static void step(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "event=claims_step_failed");
    }
  }
}
