package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.result.ResultCode;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Composes the rules that decide on another attempt, and takes its cost. */
public final class RetryRules {
  /** Re-routes of one call; they cost no allowance, so their number has its own bound. */
  public static final int MAX_REROUTES = 2;

  /** The names of decisions that are not made by a {@link RetryRule}. */
  public static final String REROUTE = "Reroute";

  public static final String ALLOWANCE = "RetryAllowance";
  public static final String BUDGET = "RetryBudget";
  public static final String GRANTED = "Granted";

  /** Refusals by a node, whose target has not seen the call: another one may have room. */
  private static final Set<ResultCode> REROUTED =
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
   * Time for the news that a request is a suspect to arrive, with gossip rounds of 200 ms. The
   * caller has to check once more after this pause.
   */
  public static final long DEATH_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Backoff backoff;

  public RetryRules(Backoff backoff) {
    this.backoff = backoff;
  }

  /**
   * Decides, and takes what a retry costs from the allowance and the budget.
   *
   * @param importance the importance of the call
   */
  public RetryDecision decide(
      FailedAttempt attempt, int importance, RetryAllowance allowance, RetryBudget budget) {
    boolean reroute = REROUTED.contains(attempt.code()) && attempt.reroutes() < MAX_REROUTES;
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
    long jittered = backoff.pauseNanos(attempt.attempts());
    return attempt.code() == ResultCode.TARGET_DIED ? DEATH_PAUSE_NANOS + jittered : jittered;
  }
}
