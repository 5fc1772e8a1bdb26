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

  /** Guards against an invitation to repeat a request that may have run. */
  @Test
  void saysNothingWhenTheRequestMayHaveRun() {
    assertThat(advice.pause(ResultCode.OUTCOME_UNKNOWN)).isEmpty();
    assertThat(advice.pause(ResultCode.DEADLINE_EXCEEDED)).isEmpty();
  }

  /** Guards against callers that are refused together and come back together. */
  @Test
  void spreadsCallersAfterAnOverload() {
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
