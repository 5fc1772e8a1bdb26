package dev.arbutusroad.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A thread with one event loop; it owns connections and the state of their users, which needs no
 * locks.
 */
public final class EventLoopThread implements AutoCloseable {
  private static final long STOP_TIMEOUT_MILLIS = 1_000;

  private final Transport transport = Transport.preferred();
  private final EventLoopGroup group;
  private final EventLoop loop;

  /** Starts a daemon thread with the given name. */
  public static EventLoopThread start(String name) {
    return new EventLoopThread(name);
  }

  private EventLoopThread(String name) {
    group = transport.newEventLoopGroup(new DefaultThreadFactory(name, true));
    loop = group.next();
  }

  /** Returns the transport whose channels run on the thread. */
  Transport transport() {
    return transport;
  }

  /** Returns the event loop, which runs tasks and timers on the thread. */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Checks that the caller runs on the thread, as the state that the thread owns has no locks.
   *
   * @throws IllegalStateException if called on another thread
   */
  public void checkInEventLoop() {
    if (!loop.inEventLoop()) {
      throw new IllegalStateException(
          "event loop state accessed from thread " + Thread.currentThread().getName());
    }
  }

  /** Schedules a task on the thread after a delay in nanoseconds; its failure is logged. */
  public ScheduledFuture<?> after(long delayNanos, Runnable task) {
    return loop.schedule(new LoggedTask(task), delayNanos, TimeUnit.NANOSECONDS);
  }

  /** Logs a failure of the task, which would otherwise only be stored in the unread future. */
  private record LoggedTask(Runnable task) implements Runnable {
    @Override
    public void run() {
      try {
        task.run();
      } catch (RuntimeException e) {
        Logger.error(e, "event=timer_failed");
      }
    }
  }

  /**
   * Runs a task on the thread and waits for its result.
   *
   * @throws IllegalStateException if the task fails or the wait is interrupted
   */
  public <T> T call(Callable<T> task) {
    try {
      return loop.submit(task).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("event loop task failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the event loop", e);
    }
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }
}
