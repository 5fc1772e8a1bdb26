package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.result.ResultCode;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Decides by a list of rules whether a call is attempted again, and takes the cost of a retry. */
public final class RetryRules {
  /** Maximum re-routes of one call; they take no allowance and so need a bound of their own. */
  public static final int MAX_REROUTES = 2;

  /** Rule name of a re-route; like the names below, it does not belong to a {@link RetryRule}. */
  public static final String REROUTE = "Reroute";

  public static final String ALLOWANCE = "RetryAllowance";
  public static final String BUDGET = "RetryBudget";
  public static final String GRANTED = "Granted";

  /** Refusals before the call reached a target; another node may have capacity for it. */
  private static final Set<ResultCode> REROUTABLE =
      EnumSet.of(
          ResultCode.LEAVING,
          ResultCode.NOT_READY,
          ResultCode.TARGET_UNREACHABLE,
          ResultCode.SHED,
          ResultCode.QUEUE_FULL);

  private static final List<RetryRule> RULES =
      List.of(
          new TransientOutcome(),
          new RepeatableOrNotRun(),
          new ConfirmedPolicy(),
          new NotSuspect(),
          new RequestAvailable(),
          new AnotherTarget(),
          new TimeRemaining());

  /**
   * Extra pause after the death of a target, in which gossip with rounds of 200 ms disseminates
   * that the request is a suspect. The caller must check for a suspect again after this pause.
   */
  public static final long SUSPECT_DISSEMINATION_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Backoff backoff;

  public RetryRules(Backoff backoff) {
    this.backoff = backoff;
  }

  /**
   * Decides what to do after a failed attempt. A retry takes its cost from the allowance and the
   * budget; the first rule that does not permit another attempt names the decision to stop.
   *
   * @param importance the importance of the call
   */
  public RetryDecision decide(
      FailedAttempt attempt, int importance, RetryAllowance allowance, RetryBudget budget) {
    boolean reroute = REROUTABLE.contains(attempt.code()) && attempt.reroutes() < MAX_REROUTES;
    long pauseNanos = reroute ? 0 : pauseNanos(attempt);
    for (RetryRule rule : RULES) {
      if (!rule.permits(attempt, pauseNanos)) {
        return RetryDecision.stop(rule.name());
      }
    }
    if (reroute) {
      return new RetryDecision(RetryDecision.Action.REROUTE, REROUTE, 0);
    }
    if (!budget.allows(importance)) {
      return RetryDecision.stop(BUDGET);
    }
    if (!allowance.spend()) {
      return RetryDecision.stop(ALLOWANCE);
    }
    budget.spend();
    return new RetryDecision(RetryDecision.Action.RETRY, GRANTED, pauseNanos);
  }

  private long pauseNanos(FailedAttempt attempt) {
    long backoffNanos = backoff.pauseNanos(attempt.attempts());
    return attempt.code() == ResultCode.TARGET_DIED
        ? SUSPECT_DISSEMINATION_NANOS + backoffNanos
        : backoffNanos;
  }
}
