package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.result.ResultCode;
import java.util.EnumSet;
import java.util.Set;

/** Permits another attempt only after a failure that may not occur at another target. */
public final class TransientOutcome implements RetryRule {
  private static final Set<ResultCode> PERMANENT =
      EnumSet.of(
          ResultCode.NO_SERVICE,
          ResultCode.NO_CONFIGURATION,
          ResultCode.EXPIRED_IN_QUEUE,
          ResultCode.DEADLINE_EXCEEDED,
          ResultCode.FATAL_REQUEST,
          ResultCode.ORDER_KEY_EXPIRED,
          ResultCode.ORDER_IN_PROGRESS,
          ResultCode.ANSWER_NOT_KEPT,
          ResultCode.PLATFORM_UNAVAILABLE,
          ResultCode.BAD_REQUEST);

  @Override
  public boolean permits(FailedAttempt attempt, long pauseNanos) {
    return !PERMANENT.contains(attempt.code());
  }
}
