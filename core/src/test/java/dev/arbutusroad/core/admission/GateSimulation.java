package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;

/** One gate before one target with a fixed number of slots and a queue of its own. */
final class GateSimulation {
  static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final double SURGE_LOAD = 3.0;
  private static final double NORMAL_LOAD = 0.7;
  private static final long DEADLINE = SECOND;
  static final int[] IMPORTANCE = {10, 40, 70, 95};
  private static final double[] SHARE = {0.5, 0.3, 0.12, 0.08};
  static final int SECONDS = 20;
  static final int SURGE_FROM = 5;
  static final int SURGE_TO = 12;

  private record Event(long at, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at));
  private final Deque<Runnable> targetQueue = new ArrayDeque<>();
  private final int[][] offered = new int[SECONDS + 2][IMPORTANCE.length];
  private final int[][] good = new int[SECONDS + 2][IMPORTANCE.length];
  private final Random random;
  private final AdmissionController gate;
  private final int slots;
  private final double meanServiceNanos;
  private final double slowdown;
  private long now;
  private int busy;

  GateSimulation(
      ConcurrencyLimit limit, int slots, double meanServiceNanos, double slowdown, long seed) {
    this.gate = new AdmissionController(limit, AdmissionController.DEFAULT_QUEUE_CAPACITY, 0);
    this.slots = slots;
    this.meanServiceNanos = meanServiceNanos;
    this.slowdown = slowdown;
    this.random = new Random(seed);
  }

  private final class Call implements AdmissionCallback {
    final int kind;
    final long arrived = now;
    final AdmissionTicket ticket;

    Call(int kind) {
      this.kind = kind;
      ticket =
          new AdmissionTicket(IMPORTANCE[kind], random.nextLong(), false, now + DEADLINE, this);
    }

    @Override
    public void start() {
      long started = now;
      Runnable run =
          () -> {
            double mean = inSurge() ? meanServiceNanos * slowdown : meanServiceNanos;
            double nanos = -Math.log(1 - random.nextDouble()) * mean;
            events.add(new Event(now + (long) nanos, () -> finish(started)));
          };
      if (busy < slots) {
        busy++;
        run.run();
      } else {
        targetQueue.add(run);
      }
    }

    private void finish(long started) {
      Runnable next = targetQueue.poll();
      if (next == null) {
        busy--;
      } else {
        next.run();
      }
      if (now - arrived <= DEADLINE) {
        good[(int) (arrived / SECOND)][kind]++;
      }
      gate.release(ticket, now - started, CallOutcome.ANSWERED, now);
    }

    @Override
    public void refuse(ResultCode code) {}
  }

  private void arrive() {
    int second = (int) (now / SECOND);
    double draw = random.nextDouble();
    int kind = 0;
    while (kind < SHARE.length - 1 && draw >= SHARE[kind]) {
      draw -= SHARE[kind++];
    }
    offered[second][kind]++;
    Call call = new Call(kind);
    gate.submit(call.ticket, now);
    double load = inSurge() ? SURGE_LOAD / slowdown : NORMAL_LOAD;
    double perNano = load * slots / meanServiceNanos;
    long next = now + (long) (-Math.log(1 - random.nextDouble()) / perNano);
    if (next < SECONDS * SECOND) {
      events.add(new Event(next, this::arrive));
    }
  }

  private boolean inSurge() {
    return now >= SURGE_FROM * SECOND && now < SURGE_TO * SECOND;
  }

  private void tick() {
    gate.advance(now);
    events.add(new Event(now + 10 * MILLI, this::tick));
  }

  void run() {
    events.add(new Event(0, this::arrive));
    events.add(new Event(0, this::tick));
    while (now < (SECONDS + 1) * SECOND) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
  }

  /** The share of the calls of one importance that were answered before the deadline. */
  double goodShare(int kind, int from, int to) {
    double offeredSum = 0;
    double goodSum = 0;
    for (int second = from; second < to; second++) {
      offeredSum += offered[second][kind];
      goodSum += good[second][kind];
    }
    return goodSum / offeredSum;
  }

  /** Good answers from one second to another, as a share of the capacity in a surge. */
  double goodput(int from, int to) {
    double sum = 0;
    for (int second = from; second < to; second++) {
      for (int kind = 0; kind < IMPORTANCE.length; kind++) {
        sum += good[second][kind];
      }
    }
    return sum / (to - from) * meanServiceNanos * slowdown / SECOND / slots;
  }
}
