package dev.arbutusroad.core.edge;

import java.util.Objects;

/**
 * What a target is told of a call.
 *
 * @param instance the announced id of the target that is meant; empty if it announced none
 * @param caller the calling service
 * @param remainingMillis time left until the deadline
 * @param token identifies the call at the node while it runs
 */
public record TargetCall(String instance, String caller, long remainingMillis, String token) {
  public TargetCall {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(token, "token");
  }
}
