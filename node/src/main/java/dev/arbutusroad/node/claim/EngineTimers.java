package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.time.Ticker;
import java.util.PriorityQueue;

/** A queue of timers that is confined to one thread, which runs them when they are due. */
final class EngineTimers {
  private final Ticker ticker;
  private final PriorityQueue<Timer> timers;
  private long sequence;

  private record Timer(long atNanos, long sequence, Runnable task) {}

  EngineTimers(Ticker ticker) {
    this.ticker = ticker;
    this.timers =
        new PriorityQueue<>(
            (a, b) -> {
              // Compares differences, because the ticker may wrap around.
              int byTime = Long.signum(a.atNanos() - b.atNanos());
              return byTime != 0 ? byTime : Long.compare(a.sequence(), b.sequence());
            });
  }

  long now() {
    return ticker.nanos();
  }

  void at(long atNanos, Runnable task) {
    timers.add(new Timer(atNanos, sequence++, task));
  }

  void after(long delayNanos, Runnable task) {
    at(now() + delayNanos, task);
  }

  /** Runs every timer that is due, in the order of their times. */
  void runDue() {
    long nowNanos = now();
    while (!timers.isEmpty() && timers.peek().atNanos() - nowNanos <= 0) {
      timers.poll().task().run();
    }
  }

  /** Returns the nanoseconds until the next timer is due, at most {@code limitNanos}. */
  long untilNextNanos(long limitNanos) {
    return timers.isEmpty()
        ? limitNanos
        : Math.max(0, Math.min(limitNanos, timers.peek().atNanos() - now()));
  }
}
