package dev.arbutusroad.core.store;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the operations in flight and queues a bounded number of further operations. */
final class OperationLimiter {
  private final int maxInFlight;
  private final int maxWaiting;
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private int inFlight;

  OperationLimiter(int maxInFlight, int maxWaiting) {
    this.maxInFlight = maxInFlight;
    this.maxWaiting = maxWaiting;
  }

  /**
   * Runs {@code start} immediately, or when an operation in flight ends. Each run of {@code start}
   * must be followed by a call of {@link #release}.
   *
   * @return false if the queue is full; {@code start} is then never run
   */
  boolean submit(Runnable start) {
    synchronized (this) {
      if (inFlight >= maxInFlight) {
        if (queue.size() >= maxWaiting) {
          return false;
        }
        queue.add(start);
        return true;
      }
      inFlight++;
    }
    start.run();
    return true;
  }

  /** Removes a queued operation; returns false if it has started. */
  synchronized boolean withdraw(Runnable start) {
    return queue.remove(start);
  }

  /** Ends an operation and starts the next queued one. */
  void release() {
    Runnable next;
    synchronized (this) {
      next = queue.poll();
      if (next == null) {
        inFlight--;
      }
    }
    if (next != null) {
      next.run();
    }
  }
}
