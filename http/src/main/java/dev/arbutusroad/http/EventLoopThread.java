package dev.arbutusroad.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** A thread that owns connections and the state of those who use them. */
public final class EventLoopThread implements AutoCloseable {
  private static final long STOP_LIMIT_MILLIS = 1_000;

  private final Transport transport = Transport.preferred();
  private final EventLoopGroup group;
  private final EventLoop loop;

  /** Starts a thread of this name. */
  public static EventLoopThread start(String name) {
    return new EventLoopThread(name);
  }

  private EventLoopThread(String name) {
    group = transport.newEventLoopGroup(new DefaultThreadFactory(name, true));
    loop = group.next();
  }

  /** The kind of channels that run on the thread. */
  Transport transport() {
    return transport;
  }

  /** Runs tasks and timers on the thread. */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Checks that the caller is on the thread, as the state that it owns has no locks.
   *
   * @throws IllegalStateException on any other thread
   */
  public void check() {
    if (!loop.inEventLoop()) {
      throw new IllegalStateException(
          "the state of an event loop is used by thread " + Thread.currentThread().getName());
    }
  }

  /** Runs a task on the thread after a delay; a failure of the task is logged. */
  public ScheduledFuture<?> after(long delayNanos, Runnable task) {
    return loop.schedule(new LoggedTask(task), delayNanos, TimeUnit.NANOSECONDS);
  }

  /** A failed task would otherwise go unnoticed in its future. */
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

  /** Runs a task on the thread and waits for its result. */
  public <T> T call(Callable<T> task) {
    try {
      return loop.submit(task).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a task of the event loop failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the event loop", e);
    }
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(0, STOP_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_LIMIT_MILLIS);
  }
}
