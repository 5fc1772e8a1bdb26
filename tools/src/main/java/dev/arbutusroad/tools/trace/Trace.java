package dev.arbutusroad.tools.trace;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A trace in memory.
 *
 * @param header the header line
 * @param phases the named phases
 * @param controls changes of targets, sorted by time
 * @param calls the calls, sorted by time
 */
public record Trace(
    TraceHeader header,
    List<TracePhase> phases,
    List<TraceControl> controls,
    List<TraceCall> calls) {
  public Trace {
    Objects.requireNonNull(header, "header");
    phases = List.copyOf(phases);
    controls = sorted(controls, Comparator.comparingInt(TraceControl::atMillis));
    calls = sorted(calls, Comparator.comparingInt(TraceCall::atMillis));
  }

  /** Returns the phase with a name. */
  public Optional<TracePhase> phase(String name) {
    return phases.stream().filter(phase -> phase.name().equals(name)).findFirst();
  }

  private static <T> List<T> sorted(List<T> values, Comparator<T> order) {
    return values.stream().sorted(order).toList();
  }
}
