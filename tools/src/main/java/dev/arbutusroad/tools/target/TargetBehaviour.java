package dev.arbutusroad.tools.target;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The behaviour of a stand-in target. {@code PUT /control} replaces individual properties.
 *
 * @param serviceMillis mean time that a call holds its slot, without child calls
 * @param jitterMillis greatest deviation from the mean in either direction, uniformly distributed
 * @param slots maximum number of concurrent calls
 * @param queueLimit maximum number of calls that wait for a slot; further ones are refused as not
 *     run
 * @param refuse whether every call is refused as not run, with status 503
 * @param crashPath a request with this path ends the process; empty for none
 * @param cutPath the response to a request with this path is truncated; empty for none
 * @param coldStartMillis time after the start during which calls are slower
 * @param coldStartFactor factor of the service time at the start; falls linearly to 1
 * @param healthy whether the health endpoint reports success
 * @param loadLagMillis age of the reading that the load endpoint returns
 * @param loadFactor factor by which the load endpoint scales its reading; other than 1 makes it
 *     wrong
 */
public record TargetBehaviour(
    @JsonProperty("serviceMillis") double serviceMillis,
    @JsonProperty("jitterMillis") double jitterMillis,
    @JsonProperty("slots") int slots,
    @JsonProperty("queueLimit") int queueLimit,
    @JsonProperty("refuse") boolean refuse,
    @JsonProperty("crashPath") String crashPath,
    @JsonProperty("cutPath") String cutPath,
    @JsonProperty("coldStartMillis") int coldStartMillis,
    @JsonProperty("coldStartFactor") double coldStartFactor,
    @JsonProperty("healthy") boolean healthy,
    @JsonProperty("loadLagMillis") int loadLagMillis,
    @JsonProperty("loadFactor") double loadFactor) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  public TargetBehaviour {
    require(serviceMillis >= 0, "serviceMillis must not be negative");
    require(jitterMillis >= 0, "jitterMillis must not be negative");
    require(slots > 0, "slots must be positive");
    require(queueLimit >= 0, "queueLimit must not be negative");
    require(crashPath != null && cutPath != null, "crashPath and cutPath must not be null");
    require(coldStartMillis >= 0, "coldStartMillis must not be negative");
    require(coldStartFactor >= 1, "coldStartFactor must be at least 1");
    require(loadLagMillis >= 0, "loadLagMillis must not be negative");
    require(loadFactor >= 0, "loadFactor must not be negative");
  }

  /** Returns a healthy target: 10 ms a call, 16 slots, a queue of 64 calls. */
  public static TargetBehaviour defaults() {
    return new TargetBehaviour(10, 0, 16, 64, false, "", "", 0, 1, true, 0, 1);
  }

  /**
   * Returns this behaviour with the properties replaced that a JSON object names.
   *
   * @throws IllegalArgumentException if the text is not an object of known, valid properties
   */
  public TargetBehaviour with(String json) {
    try {
      JsonNode changes = MAPPER.readTree(json);
      require(changes.isObject(), "a JSON object is expected");
      ObjectNode merged = MAPPER.valueToTree(this);
      merged.setAll((ObjectNode) changes);
      return MAPPER.treeToValue(merged, TargetBehaviour.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }

  private static void require(boolean valid, String message) {
    if (!valid) {
      throw new IllegalArgumentException(message);
    }
  }
}
