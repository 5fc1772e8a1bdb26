package dev.arbutusroad.tools.trace;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;

/**
 * The first line of a trace.
 *
 * @param version version of the format
 * @param name name of the trace
 * @param seed seed of the generator
 * @param scale how the trace relates to the workload that it models
 * @param retries maximum number of immediate retries of each call
 * @param attemptMillis timeout of one attempt
 */
public record TraceHeader(
    @JsonProperty("trace") int version,
    @JsonProperty("name") String name,
    @JsonProperty("seed") long seed,
    @JsonProperty("scale") String scale,
    @JsonProperty("retries") int retries,
    @JsonProperty("attemptMillis") int attemptMillis) {
  /** The format version that this class reads and writes. */
  public static final int VERSION = 1;

  public TraceHeader {
    Require.that(version == VERSION, "trace version " + version + " is not " + VERSION);
    Require.that(retries >= 0, "retries must not be negative");
    Require.that(attemptMillis > 0, "attemptMillis must be positive");
    name = Objects.requireNonNullElse(name, "");
    scale = Objects.requireNonNullElse(scale, "");
  }
}
