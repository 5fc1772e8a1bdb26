package dev.arbutusroad.core.edge;

import java.util.Objects;
import java.util.Optional;

/**
 * What a caller says of its call.
 *
 * @param requestId identifies the attempt of the caller in logs and in the target's answer
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param orderKey the caller's key of an unrepeatable order
 * @param parentId the id of the request on whose behalf a target makes the call, if it tells
 */
public record CallMetadata(
    Optional<String> requestId,
    Optional<Long> deadlineMillis,
    Optional<String> orderKey,
    Optional<String> parentId) {
  public CallMetadata {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(deadlineMillis, "deadlineMillis");
    Objects.requireNonNull(orderKey, "orderKey");
    Objects.requireNonNull(parentId, "parentId");
  }
}
