package dev.arbutusroad.node.claim;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** A discrete-event simulation in virtual time, deterministic for each seed. */
final class Simulation {
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
  private long nowNanos = 1_000_000_000_000L;
  private long sequence;

  private record Event(long atNanos, long sequence, Runnable task) {}

  Simulation(long seed) {
    this.random = new SplittableRandom(seed);
  }

  long now() {
    return nowNanos;
  }

  SplittableRandom random() {
    return random;
  }

  long randomBelow(long bound) {
    return random.nextLong(bound);
  }

  boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  void after(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + delayNanos, sequence++, task));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.task().run();
    }
    nowNanos = endNanos;
  }
}
