package dev.arbutusroad.tools.trace;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A named phase of a trace that the report lists separately.
 *
 * @param name name of the phase
 * @param startMillis start from the start of the trace, inclusive
 * @param endMillis end from the start of the trace, exclusive
 */
public record TracePhase(
    @JsonProperty("phase") String name,
    @JsonProperty("start") int startMillis,
    @JsonProperty("end") int endMillis) {
  public TracePhase {
    Require.that(name != null && !name.isEmpty(), "phase is missing");
    Require.that(startMillis >= 0 && endMillis > startMillis, "a phase must end after its start");
  }

  /** Returns whether a time of the trace is in this phase. */
  public boolean contains(int atMillis) {
    return atMillis >= startMillis && atMillis < endMillis;
  }
}
