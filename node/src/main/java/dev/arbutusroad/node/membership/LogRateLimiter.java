package dev.arbutusroad.node.membership;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Lets one log line through in ten seconds, so that a hostile peer can't flood the log. */
final class LogRateLimiter {
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final AtomicLong nextNanos = new AtomicLong(System.nanoTime());

  boolean tryAcquire() {
    long nowNanos = System.nanoTime();
    long next = nextNanos.get();
    return nowNanos - next >= 0 && nextNanos.compareAndSet(next, nowNanos + INTERVAL_NANOS);
  }
}
