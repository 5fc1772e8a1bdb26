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

/** The claims duty: a thread that owns all claims of the node. */
public final class ClaimsDuty implements Claims, AutoCloseable {
  /** Orders that wait for the thread; at most a few are expected, as it never blocks. */
  static final int RING_CAPACITY = 1024;

  private static final int EVENT_CHUNK = 256;
  private static final long MAX_PARK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time for open settlements at the end: the store must answer once, if it is up. */
  private static final long CLOSE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final MpscArrayQueue<Runnable> claims = new MpscArrayQueue<>(RING_CAPACITY);

  /**
   * Answers of the store and reports of ended orders. They can't be dropped; their number is
   * bounded by the attempts, settlements and running orders that they belong to.
   */
  private final MpscUnboundedArrayQueue<Runnable> events =
      new MpscUnboundedArrayQueue<>(EVENT_CHUNK);

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

  /** Starts the duty. */
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
    if (closing || !claims.offer(() -> engine.claim(service, key, deadlineNanos, reply))) {
      counters.rejected.increment();
      reply.refuse(
          new Failure(
              ResultCode.PLATFORM_UNAVAILABLE,
              closing ? "the claims duty is closing" : "too many orders wait to be claimed"));
      return future;
    }
    LockSupport.unpark(thread);
    return future;
  }

  /** The counts of the duty. */
  public ClaimsCounters counters() {
    return counters;
  }

  /** Ends the duty after it has written the final states of ended orders, if the store is up. */
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
    events.offer(event);
    LockSupport.unpark(thread);
  }

  private void loop() {
    long closeLimit = 0;
    while (true) {
      if (closing) {
        long now = ticker.nanos();
        if (closeLimit == 0) {
          closeLimit = now + CLOSE_LIMIT_NANOS;
        }
        if (engine.isIdle() && claims.isEmpty() && events.isEmpty()) {
          return;
        }
        if (now - closeLimit >= 0) {
          Logger.warn("event=claims_closed_with_open_settlements");
          return;
        }
      }
      drain(events);
      drain(claims);
      step(engine::runDue);
      if (events.isEmpty() && claims.isEmpty()) {
        LockSupport.parkNanos(engine.untilNextNanos(MAX_PARK_NANOS));
      }
    }
  }

  private static void drain(Queue<Runnable> queue) {
    for (Runnable task = queue.poll(); task != null; task = queue.poll()) {
      step(task);
    }
  }

  /** Runs one step; a fault in one order's step must not end the thread for all others. */
  private static void step(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "event=claims_step_failed");
    }
  }
}
