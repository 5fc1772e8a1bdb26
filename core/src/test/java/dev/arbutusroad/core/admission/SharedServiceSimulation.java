package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * One gate whose service is called by clients and by running requests of the same importance.
 *
 * <p>The calls of running requests alone need more than the slots. The first node of a request
 * knows the level of the gate with a delay, and refuses requests below it.
 */
final class SharedServiceSimulation {
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final int IMPORTANCE = 50;
  private static final int SLOTS = 36;
  private static final long TICK = 10 * MILLI;
  private static final int LEVEL_DELAY_TICKS = 20;
  private static final long WARM_UP = 2 * SECOND;
  private static final long END = 12 * SECOND;

  /** How the calls of running requests are ordered against new requests. */
  interface Ranking {
    /** The importance that the calls of a running request have at the gate. */
    int importance();

    /** The ticket of a call that a running request makes. */
    AdmissionTicket started(long origin, long deadlineNanos, AdmissionCallback waiter);
  }

  /** The ranking in use. */
  static final class Lead implements Ranking {
    @Override
    public int importance() {
      return IMPORTANCE;
    }

    @Override
    public AdmissionTicket started(long origin, long deadlineNanos, AdmissionCallback waiter) {
      return new AdmissionTicket(importance(), origin, true, deadlineNanos, waiter);
    }
  }

  /** Calls of running requests before all new requests, as a baseline. */
  static final class Strict implements Ranking {
    @Override
    public int importance() {
      return IMPORTANCE + 1;
    }

    @Override
    public AdmissionTicket started(long origin, long deadlineNanos, AdmissionCallback waiter) {
      return new AdmissionTicket(importance(), origin, false, deadlineNanos, waiter);
    }
  }

  /** Calls of running requests like new requests, as a baseline. */
  static final class Equal implements Ranking {
    @Override
    public int importance() {
      return IMPORTANCE;
    }

    @Override
    public AdmissionTicket started(long origin, long deadlineNanos, AdmissionCallback waiter) {
      return new AdmissionTicket(importance(), origin, false, deadlineNanos, waiter);
    }
  }

  private record Event(long at, Runnable action) {}

  /**
   * A kind of request.
   *
   * @param load the work that it offers, as a share of the slots
   * @param pauseNanos the work elsewhere between two calls
   */
  private record Kind(double load, int calls, long callNanos, long pauseNanos) {
    long slotNanos() {
      return calls * callNanos;
    }
  }

  private static final Kind DIRECT = new Kind(0.4, 1, 240 * MILLI, 0);
  private static final Kind CHAINED = new Kind(1.1, 8, 15 * MILLI, 20 * MILLI);

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at));
  private final Deque<AdmissionLevel> levels = new ArrayDeque<>();
  private final AdmissionController gate =
      new AdmissionController(
          new StaticLimit(SLOTS), AdmissionController.DEFAULT_QUEUE_CAPACITY, 0);
  private final Ranking ranking;
  private final Random random;
  private final Tally direct = new Tally();
  private final Tally chained = new Tally();
  private long now;

  SharedServiceSimulation(Ranking ranking, long seed) {
    this.ranking = ranking;
    this.random = new Random(seed);
  }

  private static final class Tally {
    int offered;
    int served;
    int broken;
  }

  private final class Request implements AdmissionCallback {
    final Kind kind;
    final Tally tally;
    final long origin = random.nextLong();
    final long deadline = now + 2 * SECOND;
    final boolean counted = now >= WARM_UP;
    AdmissionTicket ticket;
    int done;

    Request(Kind kind) {
      this.kind = kind;
      this.tally = kind.equals(DIRECT) ? direct : chained;
    }

    void arrive() {
      tally.offered += counted ? 1 : 0;
      if (admitsAtFirstNode()) {
        call();
      }
    }

    private boolean admitsAtFirstNode() {
      AdmissionLevel known = levels.isEmpty() ? AdmissionLevel.OPEN : levels.peekFirst();
      int importance = kind.equals(DIRECT) ? IMPORTANCE : ranking.importance();
      return known.admits(AdmissionLevel.rankOf(importance, origin));
    }

    private void call() {
      ticket =
          kind.equals(DIRECT)
              ? new AdmissionTicket(IMPORTANCE, origin, false, deadline, this)
              : ranking.started(origin, deadline, this);
      gate.submit(ticket, now);
    }

    @Override
    public void start() {
      long nanos = (long) (kind.callNanos() * (0.5 + random.nextDouble()));
      events.add(new Event(now + nanos, () -> finish(nanos)));
    }

    private void finish(long nanos) {
      gate.release(ticket, nanos, CallOutcome.ANSWERED, now);
      done++;
      if (done < kind.calls()) {
        events.add(new Event(now + kind.pauseNanos(), this::call));
      } else {
        tally.served += counted ? 1 : 0;
      }
    }

    @Override
    public void refuse(ResultCode code) {
      tally.broken += counted && done > 0 ? 1 : 0;
    }
  }

  private void arrive(Kind kind) {
    new Request(kind).arrive();
    double meanGap = kind.slotNanos() / (kind.load() * SLOTS);
    long next = now + (long) (-Math.log(1 - random.nextDouble()) * meanGap);
    events.add(new Event(next, () -> arrive(kind)));
  }

  private void tick() {
    gate.advance(now);
    levels.addLast(gate.currentLevel());
    if (levels.size() > LEVEL_DELAY_TICKS) {
      levels.removeFirst();
    }
    events.add(new Event(now + TICK, this::tick));
  }

  void run() {
    events.add(new Event(0, () -> arrive(DIRECT)));
    events.add(new Event(0, () -> arrive(CHAINED)));
    events.add(new Event(0, this::tick));
    while (now < END) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
  }

  /** The share of the requests sent by clients that was served. */
  double directShare() {
    return (double) direct.served / direct.offered;
  }

  /** The share of the requests that call the service while they run that was served. */
  double chainedShare() {
    return (double) chained.served / chained.offered;
  }

  /** The share of those requests that was refused after some of its calls had run. */
  double brokenShare() {
    return (double) chained.broken / chained.offered;
  }

  /** The share of all requests that was served. */
  double share() {
    return (double) (direct.served + chained.served) / (direct.offered + chained.offered);
  }

  /** The work of served requests as a share of the slots. */
  double goodput() {
    double nanos =
        (double) direct.served * DIRECT.slotNanos() + (double) chained.served * CHAINED.slotNanos();
    return nanos / ((END - WARM_UP) * (double) SLOTS);
  }
}
