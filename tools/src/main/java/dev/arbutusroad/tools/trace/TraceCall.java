package dev.arbutusroad.tools.trace;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;
import java.util.Objects;

/**
 * One call of a trace.
 *
 * @param atMillis scheduled time, from the start of the trace
 * @param service the service that it calls
 * @param method HTTP method
 * @param path path with query
 * @param group name of the call class that it is counted in
 * @param labels sent as {@code arbutus-label-} headers
 * @param requestBytes length of the request body
 * @param responseBytes expected length of the response body, or -1 if it is not checked
 * @param orderKey key of an unrepeatable order, or empty
 * @param deadlineMillis how long its caller waits for the complete answer
 */
public record TraceCall(
    @JsonProperty("at") int atMillis,
    @JsonProperty("service") String service,
    @JsonProperty("method") String method,
    @JsonProperty("path") String path,
    @JsonProperty("class") String group,
    @JsonProperty("labels") Map<String, String> labels,
    @JsonProperty("requestBytes") int requestBytes,
    @JsonProperty("responseBytes") int responseBytes,
    @JsonProperty("orderKey") String orderKey,
    @JsonProperty("deadlineMillis") int deadlineMillis) {
  public TraceCall {
    Require.that(atMillis >= 0, "at must not be negative");
    Require.that(service != null && !service.isEmpty(), "service is missing");
    Require.that(path != null && path.startsWith("/"), "path must start with /");
    Require.that(requestBytes >= 0, "requestBytes must not be negative");
    Require.that(deadlineMillis > 0, "deadlineMillis must be positive");
    method = Objects.requireNonNullElse(method, "GET");
    group = Objects.requireNonNullElse(group, "normal");
    labels = labels == null ? Map.of() : Map.copyOf(labels);
    orderKey = Objects.requireNonNullElse(orderKey, "");
  }
}
