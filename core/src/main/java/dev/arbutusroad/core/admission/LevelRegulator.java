package dev.arbutusroad.core.admission;

import java.util.Arrays;

/**
 * Adjusts the admission level of one gate.
 *
 * <p>It tracks the arrival rate of calls for each rank. At the end of a window it sets the level so
 * that the calls at or above it arrive at the rate that the target can serve. This rate is set
 * below the served rate while the queueing delay is above its set-point, and grows otherwise.
 */
final class LevelRegulator {
  /**
   * The share of the served rate that is admitted after an overloaded window to drain the queue.
   */
  private static final double OVERLOAD_SERVED_SHARE = 0.95;

  /** Upper bound after an overloaded window, as a share of the rate that was admitted before. */
  private static final double OVERLOAD_ADMITTED_SHARE = 0.98;

  /** Growth of the admitted rate for each saturated window that was not overloaded. */
  private static final double GROWTH_FACTOR = 1.03;

  /** Growth for each window without saturation; admits all calls again within a second. */
  private static final double UNSATURATED_GROWTH_FACTOR = 1.5;

  private static final int MAX_GROWTH_WINDOWS = 64;

  /** Time constant of the rates; spans a few windows to average out the noise of small counts. */
  private static final double RATE_TIME_CONSTANT_SECONDS = 0.4;

  /**
   * Time constant of falling rates below the level. Callers that know the level no longer send
   * these calls, so the gate keeps the earlier rate for longer.
   */
  private static final double REFUSED_RATE_TIME_CONSTANT_SECONDS = 4;

  /** Lower rates count as 0, so that most of the 12,928 ranks are skipped. */
  private static final double MIN_RATE_PER_SECOND = 0.01;

  private static final double NANOS_PER_SECOND = 1e9;

  private final int[] arrivals = new int[AdmissionLevel.MAX_RANK + 1];
  private final double[] arrivalsPerSecond = new double[AdmissionLevel.MAX_RANK + 1];
  private int startsInWindow;
  private double servedPerSecond;
  private double admittedPerSecond;
  private AdmissionLevel level = AdmissionLevel.OPEN;

  AdmissionLevel level() {
    return level;
  }

  /** Returns the smoothed rate of started calls in calls per second. */
  double servedPerSecond() {
    return servedPerSecond;
  }

  void recordArrival(int rank) {
    arrivals[rank]++;
  }

  void recordStart() {
    startsInWindow++;
  }

  /**
   * Ends a window and sets the level for the next one.
   *
   * @param overloaded whether the queueing delay is above its set-point
   * @param saturated whether every slot was in use at some time in the window
   * @param windows the elapsed time in whole windows, at least 1; more if no call arrived for a
   *     while
   */
  void endWindow(boolean overloaded, boolean saturated, long elapsedNanos, int windows) {
    double seconds = elapsedNanos / NANOS_PER_SECOND;
    double weight = smoothingWeight(seconds, RATE_TIME_CONSTANT_SECONDS);
    double servedInWindowPerSecond = startsInWindow / seconds;
    servedPerSecond += weight * (servedInWindowPerSecond - servedPerSecond);
    startsInWindow = 0;
    updateArrivalRates(seconds, weight);
    double served = Math.max(servedInWindowPerSecond, servedPerSecond);
    if (overloaded) {
      admittedPerSecond =
          Math.min(
              OVERLOAD_SERVED_SHARE * served,
              OVERLOAD_ADMITTED_SHARE * arrivalsPerSecondFrom(level.rank()));
      level = level.max(levelAdmitting(admittedPerSecond));
    } else if (level.rank() > 0) {
      double growth = saturated ? GROWTH_FACTOR : UNSATURATED_GROWTH_FACTOR;
      admittedPerSecond =
          Math.max(admittedPerSecond, served)
              * Math.pow(growth, Math.min(windows, MAX_GROWTH_WINDOWS));
      AdmissionLevel wanted = levelAdmitting(admittedPerSecond);
      level = wanted.rank() < level.rank() ? wanted : level;
    }
  }

  private void updateArrivalRates(double seconds, double weight) {
    double refusedWeight = smoothingWeight(seconds, REFUSED_RATE_TIME_CONSTANT_SECONDS);
    double perCallRate = 1 / seconds;
    for (int rank = 0; rank < arrivals.length; rank++) {
      double previous = arrivalsPerSecond[rank];
      if (arrivals[rank] == 0 && previous == 0) {
        continue;
      }
      double current = arrivals[rank] * perCallRate;
      boolean refusedByCallers = rank < level.rank() && current < previous;
      double next = previous + (refusedByCallers ? refusedWeight : weight) * (current - previous);
      arrivalsPerSecond[rank] = next < MIN_RATE_PER_SECOND ? 0 : next;
    }
    Arrays.fill(arrivals, 0);
  }

  /** Returns the arrival rate of all calls at or above a rank. */
  private double arrivalsPerSecondFrom(int rank) {
    double sum = 0;
    for (int i = rank; i < arrivalsPerSecond.length; i++) {
      sum += arrivalsPerSecond[i];
    }
    return sum;
  }

  /** Returns the lowest level at which the admitted calls do not exceed a rate. */
  private AdmissionLevel levelAdmitting(double perSecond) {
    double sum = 0;
    int rank = AdmissionLevel.MAX_RANK;
    while (rank >= 0) {
      sum += arrivalsPerSecond[rank];
      if (sum > perSecond) {
        return new AdmissionLevel(Math.min(rank + 1, AdmissionLevel.MAX_RANK));
      }
      rank--;
    }
    return AdmissionLevel.OPEN;
  }

  private static double smoothingWeight(double seconds, double timeConstantSeconds) {
    return 1 - Math.exp(-seconds / timeConstantSeconds);
  }
}
