package dev.arbutusroad.tools.trace;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The parameters from which a trace is generated.
 *
 * @param name name of the trace
 * @param scale how the trace relates to the workload that it models
 * @param retries maximum number of immediate retries of each call
 * @param attemptMillis timeout of one attempt
 * @param phases consecutive phases with their rates and changes
 * @param mix kinds of calls with their weights
 */
public record TraceProfile(
    @JsonProperty("name") String name,
    @JsonProperty("scale") String scale,
    @JsonProperty("retries") int retries,
    @JsonProperty("attemptMillis") int attemptMillis,
    @JsonProperty("phases") List<Phase> phases,
    @JsonProperty("mix") List<Kind> mix) {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  public TraceProfile {
    Require.that(phases != null && !phases.isEmpty(), "phases are missing");
    Require.that(mix != null && !mix.isEmpty(), "mix is missing");
    phases = List.copyOf(phases);
    mix = List.copyOf(mix);
  }

  /** Reads a profile: JSON with comments. */
  public static Either<Failure, TraceProfile> read(Path file) {
    try {
      return Either.right(MAPPER.readValue(Files.readString(file), TraceProfile.class));
    } catch (JsonProcessingException e) {
      return Either.left(
          new Failure(
              ResultCode.SETTINGS_SYNTAX, "profile " + file + ": " + e.getOriginalMessage()));
    } catch (IOException e) {
      return Either.left(
          new Failure(ResultCode.SETTINGS_UNREADABLE, "can't read profile " + file + ": " + e));
    }
  }

  /**
   * A phase whose rate changes linearly from one value to another.
   *
   * @param name name of the phase
   * @param millis duration
   * @param ratePerSecond calls a second at the start
   * @param endRatePerSecond calls a second at the end; 0 if the rate is constant
   * @param changes properties for {@code PUT /control} by service, sent at the start
   */
  public record Phase(
      @JsonProperty("name") String name,
      @JsonProperty("millis") int millis,
      @JsonProperty("ratePerSecond") double ratePerSecond,
      @JsonProperty("endRatePerSecond") double endRatePerSecond,
      @JsonProperty("changes") Map<String, JsonNode> changes) {
    public Phase {
      Require.that(millis > 0, "millis must be positive");
      Require.that(ratePerSecond > 0, "ratePerSecond must be positive");
      Require.that(endRatePerSecond >= 0, "endRatePerSecond must not be negative");
      changes = changes == null ? Map.of() : Map.copyOf(changes);
    }

    /** Returns the rate after a share of the phase, from 0 to 1, has passed. */
    double rateAt(double share) {
      double end = endRatePerSecond == 0 ? ratePerSecond : endRatePerSecond;
      return ratePerSecond + (end - ratePerSecond) * share;
    }
  }

  /**
   * A kind of call.
   *
   * @param weight share of all calls, relative to the other kinds
   * @param group name of the call class that it is counted in
   * @param service the service that it calls
   * @param method HTTP method
   * @param path path; {@code {n}} is replaced by a random number
   * @param labels sent as {@code arbutus-label-} headers
   * @param requestBytes length of the request body
   * @param responseBytes length of the response body; 0 if the request body is echoed
   * @param order whether each call is an order with its own order key
   * @param deadlineMillis how long its caller waits for the complete answer
   */
  public record Kind(
      @JsonProperty("weight") double weight,
      @JsonProperty("class") String group,
      @JsonProperty("service") String service,
      @JsonProperty("method") String method,
      @JsonProperty("path") String path,
      @JsonProperty("labels") Map<String, String> labels,
      @JsonProperty("requestBytes") int requestBytes,
      @JsonProperty("responseBytes") int responseBytes,
      @JsonProperty("order") boolean order,
      @JsonProperty("deadlineMillis") int deadlineMillis) {
    public Kind {
      Require.that(weight > 0, "weight must be positive");
      Require.that(path != null && path.startsWith("/"), "path must start with /");
      method = Objects.requireNonNullElse(method, "GET");
      labels = labels == null ? Map.of() : Map.copyOf(labels);
    }
  }
}
