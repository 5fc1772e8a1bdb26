package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates one gate whose service is called by clients directly and by running requests of the
 * same importance.
 *
 * <p>The calls of running requests alone exceed the capacity. The first node of a request learns
 * the level of the gate with a delay and refuses requests below it.
 */
final class SharedServiceSimulation {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
  private static final int IMPORTANCE = 50;
  private static final int SLOTS = 36;
  private static final long TICK_NANOS = 10 * MILLI_NANOS;
  private static final int LEVEL_DELAY_TICKS = 20;
  private static final long WARM_UP_NANOS = 2 * SECOND_NANOS;
  private static final long END_NANOS = 12 * SECOND_NANOS;

  /** Defines the order of child calls, the calls of running requests, relative to new requests. */
  interface Ranking {
    /** Returns the importance of child calls at the gate. */
    int importance();

    /** Returns the ticket of a child call. */
    AdmissionTicket childTicket(long origin, long deadlineNanos, AdmissionCallback callback);
  }

  /** Ranks child calls some origin groups above new requests, as the product does. */
  static final class Lead implements Ranking {
    @Override
    public int importance() {
      return IMPORTANCE;
    }

    @Override
    public AdmissionTicket childTicket(
        long origin, long deadlineNanos, AdmissionCallback callback) {
      return new AdmissionTicket(importance(), origin, true, deadlineNanos, callback);
    }
  }

  /** A baseline that ranks all child calls above all new requests. */
  static final class Strict implements Ranking {
    @Override
    public int importance() {
      return IMPORTANCE + 1;
    }

    @Override
    public AdmissionTicket childTicket(
        long origin, long deadlineNanos, AdmissionCallback callback) {
      return new AdmissionTicket(importance(), origin, false, deadlineNanos, callback);
    }
  }

  /** A baseline that ranks child calls like new requests. */
  static final class Equal implements Ranking {
    @Override
    public int importance() {
      return IMPORTANCE;
    }

    @Override
    public AdmissionTicket childTicket(
        long origin, long deadlineNanos, AdmissionCallback callback) {
      return new AdmissionTicket(importance(), origin, false, deadlineNanos, callback);
    }
  }

  private record Event(long timeNanos, Runnable action) {}

  /**
   * A kind of request.
   *
   * @param load the offered load, as a share of the slots
   * @param calls the number of consecutive calls to the service
   * @param callNanos the mean duration of a call
   * @param pauseNanos the time that the request spends elsewhere between two calls
   */
  private record Kind(double load, int calls, long callNanos, long pauseNanos) {
    long slotNanos() {
      return calls * callNanos;
    }
  }

  private static final Kind DIRECT = new Kind(0.4, 1, 240 * MILLI_NANOS, 0);
  private static final Kind CHAINED = new Kind(1.1, 8, 15 * MILLI_NANOS, 20 * MILLI_NANOS);

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::timeNanos));
  private final Deque<AdmissionLevel> levels = new ArrayDeque<>();
  private final AdmissionController gate =
      new AdmissionController(
          new StaticLimit(SLOTS), AdmissionController.DEFAULT_QUEUE_CAPACITY, 0);
  private final Ranking ranking;
  private final Random random;
  private final Counts direct = new Counts();
  private final Counts chained = new Counts();
  private long nowNanos;

  SharedServiceSimulation(Ranking ranking, long seed) {
    this.ranking = ranking;
    this.random = new Random(seed);
  }

  private static final class Counts {
    int arrivals;
    int served;
    int refusedMidway;
  }

  private final class Request implements AdmissionCallback {
    final Kind kind;
    final Counts counts;
    final long origin = random.nextLong();
    final long deadlineNanos = nowNanos + 2 * SECOND_NANOS;
    final boolean isCounted = nowNanos >= WARM_UP_NANOS;
    AdmissionTicket ticket;
    int callsDone;

    Request(Kind kind) {
      this.kind = kind;
      this.counts = kind.equals(DIRECT) ? direct : chained;
    }

    void arrive() {
      counts.arrivals += isCounted ? 1 : 0;
      if (isAdmittedByFirstNode()) {
        call();
      }
    }

    private boolean isAdmittedByFirstNode() {
      AdmissionLevel delayedLevel = levels.isEmpty() ? AdmissionLevel.OPEN : levels.peekFirst();
      int importance = kind.equals(DIRECT) ? IMPORTANCE : ranking.importance();
      return delayedLevel.admits(AdmissionLevel.rankOf(importance, origin));
    }

    private void call() {
      ticket =
          kind.equals(DIRECT)
              ? new AdmissionTicket(IMPORTANCE, origin, false, deadlineNanos, this)
              : ranking.childTicket(origin, deadlineNanos, this);
      gate.submit(ticket, nowNanos);
    }

    @Override
    public void start() {
      long nanos = (long) (kind.callNanos() * (0.5 + random.nextDouble()));
      events.add(new Event(nowNanos + nanos, () -> finish(nanos)));
    }

    private void finish(long nanos) {
      gate.release(ticket, nanos, CallOutcome.ANSWERED, nowNanos);
      callsDone++;
      if (callsDone < kind.calls()) {
        events.add(new Event(nowNanos + kind.pauseNanos(), this::call));
      } else {
        counts.served += isCounted ? 1 : 0;
      }
    }

    @Override
    public void refuse(ResultCode code) {
      counts.refusedMidway += isCounted && callsDone > 0 ? 1 : 0;
    }
  }

  private void arrive(Kind kind) {
    new Request(kind).arrive();
    double meanGapNanos = kind.slotNanos() / (kind.load() * SLOTS);
    long nextNanos = nowNanos + (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos);
    events.add(new Event(nextNanos, () -> arrive(kind)));
  }

  private void tick() {
    gate.advance(nowNanos);
    levels.addLast(gate.currentLevel());
    if (levels.size() > LEVEL_DELAY_TICKS) {
      levels.removeFirst();
    }
    events.add(new Event(nowNanos + TICK_NANOS, this::tick));
  }

  void run() {
    events.add(new Event(0, () -> arrive(DIRECT)));
    events.add(new Event(0, () -> arrive(CHAINED)));
    events.add(new Event(0, this::tick));
    while (nowNanos < END_NANOS) {
      Event event = events.remove();
      nowNanos = event.timeNanos();
      event.action().run();
    }
  }

  /** Returns the share of the requests sent directly by clients that was served. */
  double directServedShare() {
    return (double) direct.served / direct.arrivals;
  }

  /** Returns the share of the requests with child calls that was served. */
  double chainedServedShare() {
    return (double) chained.served / chained.arrivals;
  }

  /** Returns the share of the requests with child calls that was refused after a call had run. */
  double refusedMidwayShare() {
    return (double) chained.refusedMidway / chained.arrivals;
  }

  /** Returns the share of all requests that was served. */
  double servedShare() {
    return (double) (direct.served + chained.served) / (direct.arrivals + chained.arrivals);
  }

  /** Returns the work of the served requests as a share of the capacity. */
  double goodput() {
    double nanos =
        (double) direct.served * DIRECT.slotNanos() + (double) chained.served * CHAINED.slotNanos();
    return nanos / ((END_NANOS - WARM_UP_NANOS) * (double) SLOTS);
  }
}
