package dev.arbutusroad.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against load on a failed store, and against a circuit that never closes again. */
final class CircuitBreakerTest {
  private long now;
  private final CircuitBreaker breaker = new CircuitBreaker(() -> now, new SplittableRandom(1));

  @Test
  void opensAfterConsecutiveFailuresAndClosesAfterASuccessfulTrial() {
    for (int i = 0; i < 50; i++) {
      assertThat(breaker.tryAcquire()).isTrue();
      if (i % 2 == 0) {
        breaker.recordFailure();
      } else {
        breaker.recordSuccess();
      }
    }
    openCircuit();
    breaker.recordSuccess();
    assertThat(breaker.tryAcquire()).as("a late success keeps it open").isFalse();
    now += CircuitBreaker.MIN_PAUSE_NANOS;
    assertThat(breaker.tryAcquire()).isTrue();
    assertThat(breaker.tryAcquire()).as("one trial at a time").isFalse();
    breaker.recordSuccess();
    assertThat(breaker.tryAcquire()).isTrue();
  }

  @Test
  void failedTrialsLengthenThePauseUpToTheMaximum() {
    openCircuit();
    for (int i = 0; i < 10; i++) {
      now += CircuitBreaker.MAX_PAUSE_NANOS;
      assertThat(breaker.tryAcquire()).isTrue();
      breaker.recordFailure();
    }
    now += CircuitBreaker.MAX_PAUSE_NANOS / 2 - 1;
    assertThat(breaker.tryAcquire()).isFalse();
  }

  private void openCircuit() {
    breaker.recordSuccess();
    for (int i = 1; i <= CircuitBreaker.FAILURE_THRESHOLD; i++) {
      assertThat(breaker.tryAcquire()).isTrue();
      assertThat(breaker.recordFailure()).isEqualTo(i == CircuitBreaker.FAILURE_THRESHOLD);
    }
    assertThat(breaker.tryAcquire()).isFalse();
  }
}
