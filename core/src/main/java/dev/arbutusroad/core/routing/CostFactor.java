package dev.arbutusroad.core.routing;

import dev.arbutusroad.core.membership.Member;

/** A rule that sends more or fewer calls to a target. The factors of all rules are multiplied. */
@FunctionalInterface
interface CostFactor {
  /**
   * Returns the factor on the cost of a target: 1 is neutral, a greater value sends fewer calls.
   */
  double costFactor(Member member, TargetStats stats, long nowNanos);
}
