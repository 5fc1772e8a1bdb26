package dev.arbutusroad.tools.load;

import dev.arbutusroad.tools.load.CallResult.Answer;
import dev.arbutusroad.tools.trace.Trace;
import dev.arbutusroad.tools.trace.TraceCall;
import dev.arbutusroad.tools.trace.TracePhase;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Computes statistics from the results of a replay. */
final class Measures {
  /** Length of the windows in which goodput is compared to detect recovery. */
  static final int WINDOW_MILLIS = 200;

  /** Consecutive good windows required, so that a single good window is not taken for recovery. */
  static final int RECOVERED_WINDOWS = 5;

  private static final int CAPACITY_WINDOW_MILLIS = 1_000;
  private static final double RECOVERED_SHARE = 0.95;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int HISTOGRAM_DIGITS = 3;

  private final Trace trace;
  private final List<CallResult> results;

  Measures(Trace trace, List<CallResult> results) {
    this.trace = trace;
    this.results = List.copyOf(results);
  }

  Set<String> groups() {
    Set<String> groups = new TreeSet<>();
    trace.calls().forEach(call -> groups.add(call.group()));
    return groups;
  }

  static Predicate<TraceCall> inPhase(TracePhase phase) {
    return call -> phase.contains(call.atMillis());
  }

  static Predicate<TraceCall> inGroups(Set<String> groups) {
    return call -> groups.isEmpty() || groups.contains(call.group());
  }

  long offered(Predicate<TraceCall> calls) {
    return trace.calls().stream().filter(calls).count();
  }

  /** Returns the number of calls with a complete, correct answer within their deadline. */
  long good(Predicate<TraceCall> calls) {
    return indexes(calls).filter(this::isGood).count();
  }

  long count(Predicate<TraceCall> calls, Answer answer) {
    return indexes(calls).filter(i -> results.get(i).answer() == answer).count();
  }

  long attempts(Predicate<TraceCall> calls) {
    return indexes(calls).mapToLong(i -> results.get(i).attempts()).sum();
  }

  /** Returns the share of good calls among the offered ones; 1 if none were offered. */
  double goodShare(Predicate<TraceCall> calls) {
    long offered = offered(calls);
    return offered == 0 ? 1 : (double) good(calls) / offered;
  }

  double goodPerSecond(TracePhase phase) {
    return good(inPhase(phase)) * MILLIS_PER_SECOND / (phase.endMillis() - phase.startMillis());
  }

  /** Returns the highest goodput of any second of a phase: the capacity, if the load exceeds it. */
  double capacityPerSecond(TracePhase phase) {
    double capacity = 0;
    int last = phase.endMillis() - CAPACITY_WINDOW_MILLIS;
    for (int start = phase.startMillis(); start <= last; start += WINDOW_MILLIS) {
      capacity =
          Math.max(
              capacity,
              goodPerSecond(new TracePhase("window", start, start + CAPACITY_WINDOW_MILLIS)));
    }
    return capacity;
  }

  /** Returns the latency of good calls in microseconds, measured from their scheduled times. */
  Histogram latencyMicros(Predicate<TraceCall> calls) {
    Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
    indexes(calls)
        .filter(this::isGood)
        .forEach(
            i ->
                histogram.recordValue(
                    TimeUnit.NANOSECONDS.toMicros(results.get(i).latencyNanos())));
    return histogram;
  }

  /**
   * Returns the time from the end of a phase to the start of the first of five consecutive 200 ms
   * windows whose goodput is at least 95% of that before the phase; empty if there is no such time
   * or the goodput before was 0. The goodput of a window is the share of good calls among those
   * scheduled in it, which excludes the noise of the arrivals.
   */
  OptionalInt recoveryMillis(TracePhase trigger, TracePhase before) {
    double threshold = RECOVERED_SHARE * goodShare(inPhase(before));
    if (threshold == 0) {
      return OptionalInt.empty();
    }
    int endMillis = trace.phases().get(trace.phases().size() - 1).endMillis();
    int goodWindows = 0;
    for (int start = trigger.endMillis();
        start + WINDOW_MILLIS <= endMillis;
        start += WINDOW_MILLIS) {
      TracePhase window = new TracePhase("window", start, start + WINDOW_MILLIS);
      goodWindows = goodShare(inPhase(window)) >= threshold ? goodWindows + 1 : 0;
      if (goodWindows == RECOVERED_WINDOWS) {
        return OptionalInt.of(
            start - (RECOVERED_WINDOWS - 1) * WINDOW_MILLIS - trigger.endMillis());
      }
    }
    return OptionalInt.empty();
  }

  private IntStream indexes(Predicate<TraceCall> calls) {
    return IntStream.range(0, results.size()).filter(i -> calls.test(trace.calls().get(i)));
  }

  private boolean isGood(int index) {
    CallResult result = results.get(index);
    long deadlineMillis = trace.calls().get(index).deadlineMillis();
    return result.answer() == Answer.CORRECT
        && result.latencyNanos() <= TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
  }
}
