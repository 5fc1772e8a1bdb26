package dev.arbutusroad.node.membership;

import java.util.concurrent.atomic.LongAdder;
import org.jctools.queues.MpmcArrayQueue;

/**
 * A bounded ring buffer with many producers and one consumer that drops its oldest element when
 * full.
 *
 * <p>The underlying queue allows many consumers, because a producer removes the oldest element of a
 * full ring.
 */
final class DropOldestRing<T> {
  private final MpmcArrayQueue<T> queue;
  private final LongAdder dropped = new LongAdder();

  DropOldestRing(int capacity) {
    queue = new MpmcArrayQueue<>(capacity);
  }

  /** Adds an element. Drops the oldest ones if the ring is full; never blocks. */
  void put(T element) {
    while (!queue.offer(element)) {
      if (queue.poll() != null) {
        dropped.increment();
      }
    }
  }

  /** Removes and returns the oldest element, or returns null if the ring is empty. */
  T poll() {
    return queue.poll();
  }

  /** Returns how many elements were dropped since the start. */
  long dropped() {
    return dropped.sum();
  }
}
