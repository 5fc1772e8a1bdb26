package dev.arbutusroad.tools.trace;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * A scheduled change of the behaviour of every stand-in target of a service.
 *
 * @param atMillis scheduled time, from the start of the trace
 * @param service the service whose targets change
 * @param change properties for {@code PUT /control}
 */
public record TraceControl(
    @JsonProperty("at") int atMillis,
    @JsonProperty("control") String service,
    @JsonProperty("change") JsonNode change) {
  public TraceControl {
    Require.that(atMillis >= 0, "at must not be negative");
    Require.that(service != null && !service.isEmpty(), "control is missing");
    Require.that(change != null && change.isObject(), "change must be an object");
  }
}
