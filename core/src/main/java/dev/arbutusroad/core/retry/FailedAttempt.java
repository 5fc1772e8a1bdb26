package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.result.RunState;
import java.util.Objects;

/**
 * A call whose latest attempt has failed, as the retry rules see it.
 *
 * @param code the result of the attempt
 * @param unrepeatable whether the call may run at most once
 * @param readOnly whether the method is GET or HEAD
 * @param unconfirmed whether the last confirmation of the configuration is too long ago
 * @param suspect whether the request is suspected of crashing its targets
 * @param bodyAvailable whether the whole request is held, so that it can be sent again
 * @param otherTarget whether a serving target exists that has not been tried
 * @param attempts the number of attempts made so far
 * @param reroutes the number of those attempts that did not reach a target
 * @param remainingNanos the time left until the deadline, in nanoseconds
 */
public record FailedAttempt(
    ResultCode code,
    boolean unrepeatable,
    boolean readOnly,
    boolean unconfirmed,
    boolean suspect,
    boolean bodyAvailable,
    boolean otherTarget,
    int attempts,
    int reroutes,
    long remainingNanos) {
  public FailedAttempt {
    Objects.requireNonNull(code, "code");
  }

  /** Returns whether the request may have run on the target that failed. */
  boolean mayHaveRun() {
    return code.runState() != RunState.NOT_RUN;
  }
}
