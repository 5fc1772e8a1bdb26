package dev.arbutusroad.node.membership;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Allows one log line every ten seconds, so that a malicious peer cannot flood the log. */
final class LogRateLimiter {
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final AtomicLong nextPermitNanos = new AtomicLong(System.nanoTime());

  /** Returns whether a line may be logged now and, if so, consumes the permit. Thread-safe. */
  boolean tryAcquire() {
    long nowNanos = System.nanoTime();
    long permitNanos = nextPermitNanos.get();
    return nowNanos - permitNanos >= 0
        && nextPermitNanos.compareAndSet(permitNanos, nowNanos + INTERVAL_NANOS);
  }
}
