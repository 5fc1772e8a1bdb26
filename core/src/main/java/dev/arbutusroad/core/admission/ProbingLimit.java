package dev.arbutusroad.core.admission;

/**
 * Adapts the limit by comparing the latency at the limit with the latency during dips, short phases
 * with a reduced limit.
 *
 * <p>The latency of a target does not depend on the number of calls while they run within its
 * slots; beyond the slots it grows with the number. Each cycle multiplies the limit by the ratio of
 * the two latencies and adds a probe increment, so that the limit settles slightly above the number
 * of slots. Both latencies are measured in the same cycle. A long-term minimum as baseline would
 * become stale when the target's own dependencies slow down, and would then lower the limit without
 * need.
 */
public final class ProbingLimit implements ConcurrencyLimit {
  static final int MIN_LIMIT = 4;
  static final int MAX_LIMIT = 2_000;

  /**
   * Targets have 15 to 90 slots. An initial limit that is too high is corrected within a few
   * cycles; one that is too low refuses calls that a large target could have served.
   */
  static final int INITIAL_LIMIT = 64;

  /** The limit during a dip, as a share of the normal limit. */
  private static final double DIP_SHARE = 0.75;

  /** The same during startup; lower because the limit may be far above the number of slots. */
  private static final double STARTUP_DIP_SHARE = 0.5;

  /**
   * Latency may rise by this factor before the limit falls. A multiple of the standard error is
   * added, so that few or scattered samples do not lower the limit by chance.
   */
  private static final double LATENCY_TOLERANCE_FACTOR = 1.05;

  /**
   * Standard errors that are added to the tolerance. With 1.0, the limit of a simulated 15-slot
   * target fell to 6 by chance.
   */
  private static final double TOLERATED_STANDARD_ERRORS = 1.5;

  /**
   * Standard errors by which latency may rise during startup, while the limit doubles in each
   * cycle. If startup ended early by chance, the limit of a large target would grow only by slow
   * increments.
   */
  private static final double STARTUP_TOLERATED_STANDARD_ERRORS = 2.5;

  /** The smallest factor that a higher latency applies to the limit in one cycle. */
  private static final double MIN_DECREASE_FACTOR = 0.6;

  /**
   * The probe increment doubles in each cycle without a rise in latency, up to this share of the
   * limit.
   */
  private static final double MAX_PROBE_SHARE = 0.25;

  /** Growth of the limit in one cycle of the startup, as a share of the limit. */
  private static final double STARTUP_GROWTH_SHARE = 1;

  /** The share of the weight of earlier samples that carries over to the next cycle. */
  private static final double SAMPLE_RETENTION = 0.5;

  /**
   * The factor on the limit after a cycle with calls that ended as {@link CallOutcome#OVERLOADED}.
   */
  private static final double OVERLOAD_DECREASE_FACTOR = 0.9;

  /** Calls at the limit before a dip, as a multiple of the limit; keeps dips rare. */
  private static final int AT_LIMIT_STARTS_PER_LIMIT = 2;

  private static final int MIN_AT_LIMIT_STARTS = 80;
  private static final int MIN_DIP_STARTS = 40;

  /** A longer cycle ends without an adjustment, as its samples come from different loads. */
  private static final long MAX_CYCLE_NANOS = 10_000_000_000L;

  private static final int NOT_SAMPLED = 0;
  private static final int CYCLE_PARITY_BIT = 1;
  private static final int AT_LIMIT_BIT = 2;
  private static final int DIP_BIT = 4;

  private final LatencyAverage average = new LatencyAverage();
  private double limit = INITIAL_LIMIT;
  private double probe = baseProbe(INITIAL_LIMIT);
  private final LatencySamples atLimitSamples = new LatencySamples();
  private final LatencySamples dipSamples = new LatencySamples();
  private int atLimitStarts;
  private int dipStarts;
  private int dipFinishes;
  private boolean startup = true;
  private boolean inDip;
  private boolean dipComplete;
  private boolean overloadSeen;
  private int cycle;
  private long cycleStartNanos;
  private boolean cycleClockStarted;

  @Override
  public int limit() {
    return inDip ? dipLimit() : (int) limit;
  }

  @Override
  public int started(int inFlight) {
    int parity = cycle & CYCLE_PARITY_BIT;
    if (inDip) {
      dipStarts++;
      if (dipStarts >= requiredDipStarts()) {
        inDip = false;
        dipComplete = true;
      }
      return DIP_BIT | parity;
    }
    if (inFlight < (int) limit) {
      return NOT_SAMPLED;
    }
    atLimitStarts++;
    if (!dipComplete
        && atLimitStarts
            >= Math.max(MIN_AT_LIMIT_STARTS, AT_LIMIT_STARTS_PER_LIMIT * (int) limit)) {
      inDip = true;
    }
    return AT_LIMIT_BIT | parity;
  }

  @Override
  public void finished(int sampleTag, long latencyNanos, CallOutcome outcome, long nowNanos) {
    startCycleClock(nowNanos);
    if (outcome != CallOutcome.IGNORED) {
      average.add(latencyNanos);
      overloadSeen |= outcome == CallOutcome.OVERLOADED;
    }
    boolean inCurrentCycle = (sampleTag & CYCLE_PARITY_BIT) == (cycle & CYCLE_PARITY_BIT);
    if ((sampleTag & AT_LIMIT_BIT) != 0 && inCurrentCycle && outcome != CallOutcome.IGNORED) {
      atLimitSamples.add(latencyNanos);
    } else if ((sampleTag & DIP_BIT) != 0 && inCurrentCycle) {
      dipFinishes++;
      if (outcome != CallOutcome.IGNORED) {
        dipSamples.add(latencyNanos);
      }
    }
    if (dipComplete && dipFinishes >= dipStarts) {
      adjust();
      nextCycle(nowNanos);
    } else if (nowNanos - cycleStartNanos > MAX_CYCLE_NANOS) {
      nextCycle(nowNanos);
    }
  }

  @Override
  public long meanLatencyNanos() {
    return average.meanNanos();
  }

  private void adjust() {
    if (atLimitSamples.isEmpty() || dipSamples.isEmpty()) {
      return;
    }
    double standardError =
        Math.sqrt(atLimitSamples.relativeVariance() + dipSamples.relativeVariance());
    double tolerance =
        startup
            ? 1 + STARTUP_TOLERATED_STANDARD_ERRORS * standardError
            : LATENCY_TOLERANCE_FACTOR + TOLERATED_STANDARD_ERRORS * standardError;
    double latencyRatio = tolerance * dipSamples.mean() / atLimitSamples.mean();
    if (latencyRatio < 1 || overloadSeen) {
      startup = false;
      probe = baseProbe(limit);
      limit *= Math.max(MIN_DECREASE_FACTOR, Math.min(1, latencyRatio));
    }
    if (overloadSeen) {
      limit *= OVERLOAD_DECREASE_FACTOR;
    } else if (startup) {
      limit += STARTUP_GROWTH_SHARE * limit;
    } else {
      limit += probe;
      probe = Math.min(2 * probe, Math.max(baseProbe(limit), MAX_PROBE_SHARE * limit));
    }
    limit = Math.min(MAX_LIMIT, Math.max(MIN_LIMIT, limit));
  }

  private void nextCycle(long nowNanos) {
    double retained = startup ? 0 : SAMPLE_RETENTION;
    atLimitSamples.scaleWeight(retained);
    dipSamples.scaleWeight(retained);
    atLimitStarts = 0;
    dipStarts = 0;
    dipFinishes = 0;
    inDip = false;
    dipComplete = false;
    overloadSeen = false;
    cycle++;
    cycleStartNanos = nowNanos;
  }

  private void startCycleClock(long nowNanos) {
    if (!cycleClockStarted) {
      cycleClockStarted = true;
      cycleStartNanos = nowNanos;
    }
  }

  private int dipLimit() {
    return Math.max(1, (int) (limit * (startup ? STARTUP_DIP_SHARE : DIP_SHARE)));
  }

  private int requiredDipStarts() {
    return Math.max(MIN_DIP_STARTS, (int) limit / 2);
  }

  private static double baseProbe(double limit) {
    return Math.max(1, Math.sqrt(limit) / 2);
  }
}
