package dev.arbutusroad.core.edge;

import java.util.Objects;

/**
 * The data of a call that the node sends to its target.
 *
 * @param instance the announced id of the intended target; empty if it announced none
 * @param caller the calling service
 * @param remainingMillis the time until the deadline in milliseconds
 * @param token identifies the call at the node while the call runs
 */
public record TargetCall(String instance, String caller, long remainingMillis, String token) {
  public TargetCall {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(token, "token");
  }
}
