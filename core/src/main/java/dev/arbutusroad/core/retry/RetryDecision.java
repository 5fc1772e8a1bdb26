package dev.arbutusroad.core.retry;

import java.util.Objects;

/**
 * The decision on what to do with a call after a failed attempt.
 *
 * @param action what to do
 * @param rule the name of the rule that made the decision
 * @param pauseNanos the pause before the next attempt, in nanoseconds
 */
public record RetryDecision(Action action, String rule, long pauseNanos) {
  /** What to do after a failed attempt. */
  public enum Action {
    /** Report the failure to the caller. */
    STOP,
    /** Send the call again; takes one retry from the allowance and one token from the budget. */
    RETRY,
    /** Send the call to another target at no cost, because it has not reached a target yet. */
    REROUTE
  }

  public RetryDecision {
    Objects.requireNonNull(action, "action");
    Objects.requireNonNull(rule, "rule");
  }

  static RetryDecision stop(String rule) {
    return new RetryDecision(Action.STOP, rule, 0);
  }
}
