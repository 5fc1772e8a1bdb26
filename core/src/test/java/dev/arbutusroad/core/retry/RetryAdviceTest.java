package dev.arbutusroad.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.ResultCode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class RetryAdviceTest {
  private final RetryAdvice advice = new RetryAdvice(new SplittableRandom(3));

  /** Guards against advising a caller to resend a request that may have run. */
  @Test
  void advisesNoPauseWhenTheRequestMayHaveRun() {
    assertThat(advice.pause(ResultCode.OUTCOME_UNKNOWN)).isEmpty();
    assertThat(advice.pause(ResultCode.DEADLINE_EXCEEDED)).isEmpty();
  }

  /** Guards against callers that are refused at the same time and resend at the same time. */
  @Test
  void jittersThePauseAfterAnOverload() {
    Set<Duration> pauses = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      Duration pause = advice.pause(ResultCode.SHED).orElseThrow();
      assertThat(pause)
          .isBetween(
              RetryAdvice.OVERLOAD_PAUSE.dividedBy(2),
              RetryAdvice.OVERLOAD_PAUSE.multipliedBy(3).dividedBy(2));
      pauses.add(pause);
    }
    assertThat(pauses).hasSizeGreaterThan(90);
  }
}
