package dev.arbutusroad.core.store;

import dev.arbutusroad.core.time.Ticker;
import java.util.random.RandomGenerator;

/**
 * A circuit breaker: rejects calls after consecutive failures and permits one trial call after a
 * pause.
 *
 * <p>Each failed trial doubles the pause, up to a maximum. The pause is jittered, so that the nodes
 * of an installation do not send their trial calls to a recovering platform at the same time.
 */
final class CircuitBreaker {
  static final int FAILURE_THRESHOLD = 5;
  static final long MIN_PAUSE_NANOS = 200_000_000L;
  static final long MAX_PAUSE_NANOS = 4_000_000_000L;

  private final Ticker ticker;
  private final RandomGenerator random;

  private int consecutiveFailures;
  private boolean open;
  private boolean trialInFlight;
  private long pauseNanos = MIN_PAUSE_NANOS;
  private long nextTrialNanos;

  CircuitBreaker(Ticker ticker, RandomGenerator random) {
    this.ticker = ticker;
    this.random = random;
  }

  /** Returns whether {@link #tryAcquire} would reject a call now. */
  synchronized boolean isRejecting() {
    return open && (trialInFlight || ticker.nanos() - nextTrialNanos < 0);
  }

  /**
   * Acquires permission for one call. The result of a permitted call must be recorded.
   *
   * @return false if the call is rejected
   */
  synchronized boolean tryAcquire() {
    if (isRejecting()) {
      return false;
    }
    trialInFlight = open;
    return true;
  }

  /** Records that a permitted call was answered. */
  synchronized void recordSuccess() {
    if (open && !trialInFlight) {
      // The call was sent before the circuit opened; its answer does not show a recovery.
      return;
    }
    open = false;
    trialInFlight = false;
    consecutiveFailures = 0;
    pauseNanos = MIN_PAUSE_NANOS;
  }

  /**
   * Records that a permitted call failed or was not answered.
   *
   * @return whether this failure opened the circuit
   */
  synchronized boolean recordFailure() {
    if (open && !trialInFlight) {
      return false;
    }
    if (open) {
      trialInFlight = false;
      pauseNanos = Math.min(MAX_PAUSE_NANOS, pauseNanos * 2);
      scheduleTrial();
      return false;
    }
    consecutiveFailures++;
    if (consecutiveFailures < FAILURE_THRESHOLD) {
      return false;
    }
    open = true;
    scheduleTrial();
    return true;
  }

  private void scheduleTrial() {
    nextTrialNanos = ticker.nanos() + pauseNanos / 2 + random.nextLong(pauseNanos / 2 + 1);
  }
}
