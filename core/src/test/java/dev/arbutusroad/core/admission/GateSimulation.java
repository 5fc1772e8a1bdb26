package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;

/** Simulates one gate in front of one target that has a fixed number of slots and its own queue. */
final class GateSimulation {
  static final long MILLI_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
  private static final double SURGE_LOAD = 3.0;
  private static final double NORMAL_LOAD = 0.7;
  private static final long DEADLINE_NANOS = SECOND_NANOS;
  static final int[] IMPORTANCE = {10, 40, 70, 95};
  private static final double[] LOAD_SHARE = {0.5, 0.3, 0.12, 0.08};
  static final int DURATION_SECONDS = 20;
  static final int SURGE_START_SECOND = 5;
  static final int SURGE_END_SECOND = 12;

  private record Event(long timeNanos, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos));
  private final Deque<Runnable> targetQueue = new ArrayDeque<>();
  private final int[][] arrivals = new int[DURATION_SECONDS + 2][IMPORTANCE.length];
  private final int[][] answeredInTime = new int[DURATION_SECONDS + 2][IMPORTANCE.length];
  private final Random random;
  private final AdmissionController gate;
  private final int slots;
  private final double meanServiceNanos;
  private final double slowdown;
  private long nowNanos;
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
    final long arrivedNanos = nowNanos;
    final AdmissionTicket ticket;

    Call(int kind) {
      this.kind = kind;
      ticket =
          new AdmissionTicket(
              IMPORTANCE[kind], random.nextLong(), false, nowNanos + DEADLINE_NANOS, this);
    }

    @Override
    public void start() {
      long startedNanos = nowNanos;
      Runnable run =
          () -> {
            double mean = inSurge() ? meanServiceNanos * slowdown : meanServiceNanos;
            double serviceNanos = -Math.log(1 - random.nextDouble()) * mean;
            events.add(new Event(nowNanos + (long) serviceNanos, () -> finish(startedNanos)));
          };
      if (busy < slots) {
        busy++;
        run.run();
      } else {
        targetQueue.add(run);
      }
    }

    private void finish(long startedNanos) {
      Runnable next = targetQueue.poll();
      if (next == null) {
        busy--;
      } else {
        next.run();
      }
      if (nowNanos - arrivedNanos <= DEADLINE_NANOS) {
        answeredInTime[(int) (arrivedNanos / SECOND_NANOS)][kind]++;
      }
      gate.release(ticket, nowNanos - startedNanos, CallOutcome.ANSWERED, nowNanos);
    }

    @Override
    public void refuse(ResultCode code) {}
  }

  private void arrive() {
    int second = (int) (nowNanos / SECOND_NANOS);
    double draw = random.nextDouble();
    int kind = 0;
    while (kind < LOAD_SHARE.length - 1 && draw >= LOAD_SHARE[kind]) {
      draw -= LOAD_SHARE[kind++];
    }
    arrivals[second][kind]++;
    Call call = new Call(kind);
    gate.submit(call.ticket, nowNanos);
    double load = inSurge() ? SURGE_LOAD / slowdown : NORMAL_LOAD;
    double arrivalsPerNano = load * slots / meanServiceNanos;
    long nextNanos = nowNanos + (long) (-Math.log(1 - random.nextDouble()) / arrivalsPerNano);
    if (nextNanos < DURATION_SECONDS * SECOND_NANOS) {
      events.add(new Event(nextNanos, this::arrive));
    }
  }

  private boolean inSurge() {
    return nowNanos >= SURGE_START_SECOND * SECOND_NANOS
        && nowNanos < SURGE_END_SECOND * SECOND_NANOS;
  }

  private void tick() {
    gate.advance(nowNanos);
    events.add(new Event(nowNanos + 10 * MILLI_NANOS, this::tick));
  }

  void run() {
    events.add(new Event(0, this::arrive));
    events.add(new Event(0, this::tick));
    while (nowNanos < (DURATION_SECONDS + 1) * SECOND_NANOS) {
      Event event = events.remove();
      nowNanos = event.timeNanos();
      event.action().run();
    }
  }

  /** Returns the share of the calls of one importance that were answered before the deadline. */
  double answeredInTimeShare(int kind, int from, int to) {
    double arrivalSum = 0;
    double answeredSum = 0;
    for (int second = from; second < to; second++) {
      arrivalSum += arrivals[second][kind];
      answeredSum += answeredInTime[second][kind];
    }
    return answeredSum / arrivalSum;
  }

  /** Returns the rate of answers before the deadline, as a share of the capacity in a surge. */
  double goodput(int from, int to) {
    double sum = 0;
    for (int second = from; second < to; second++) {
      for (int kind = 0; kind < IMPORTANCE.length; kind++) {
        sum += answeredInTime[second][kind];
      }
    }
    return sum / (to - from) * meanServiceNanos * slowdown / SECOND_NANOS / slots;
  }
}
