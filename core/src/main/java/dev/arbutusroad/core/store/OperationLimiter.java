package dev.arbutusroad.core.store;

import java.util.ArrayDeque;
import java.util.Deque;

/** Bounds the operations in flight and the operations that wait for one of them to end. */
final class OperationLimiter {
  private final int maxInFlight;
  private final int maxWaiting;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int inFlight;

  OperationLimiter(int maxInFlight, int maxWaiting) {
    this.maxInFlight = maxInFlight;
    this.maxWaiting = maxWaiting;
  }

  /**
   * Runs {@code start} now or once an operation ends. Every start must be followed by {@link
   * #release}.
   *
   * @return false if the queue is full; {@code start} is then never run
   */
  boolean submit(Runnable start) {
    synchronized (this) {
      if (inFlight >= maxInFlight) {
        if (waiting.size() >= maxWaiting) {
          return false;
        }
        waiting.add(start);
        return true;
      }
      inFlight++;
    }
    start.run();
    return true;
  }

  /** Removes a waiting operation; false if it has started. */
  synchronized boolean withdraw(Runnable start) {
    return waiting.remove(start);
  }

  /** Ends an operation and starts the next that waits. */
  void release() {
    Runnable next;
    synchronized (this) {
      next = waiting.poll();
      if (next == null) {
        inFlight--;
      }
    }
    if (next != null) {
      next.run();
    }
  }
}
