package dev.arbutusroad.core.edge;

import java.util.Objects;
import java.util.Optional;

/**
 * The metadata that a caller sends with a call.
 *
 * @param requestId identifies the caller's attempt in logs and in the target's answer
 * @param deadlineMillis the caller's timeout in milliseconds
 * @param orderKey the caller's key of an unrepeatable call
 * @param parentId the id of the request on whose behalf a target makes the call
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
