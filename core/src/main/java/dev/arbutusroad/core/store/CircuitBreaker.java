package dev.arbutusroad.core.store;

import dev.arbutusroad.core.time.Ticker;
import java.util.random.RandomGenerator;

/**
 * Suspends calls after consecutive failures and lets one trial call through after a pause.
 *
 * <p>Each failed trial doubles the pause up to a maximum. The pause is jittered, so that the nodes
 * of an installation do not try a recovering platform at the same moment.
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
  private long openUntilNanos;

  CircuitBreaker(Ticker ticker, RandomGenerator random) {
    this.ticker = ticker;
    this.random = random;
  }

  /** Whether {@link #tryAcquire} would refuse a call at this moment. */
  synchronized boolean refuses() {
    return open && (trialInFlight || ticker.nanos() - openUntilNanos < 0);
  }

  /** Takes the permission for one call; its result must be reported. */
  synchronized boolean tryAcquire() {
    if (refuses()) {
      return false;
    }
    trialInFlight = open;
    return true;
  }

  /** A permitted call was answered. */
  synchronized void succeeded() {
    if (open && !trialInFlight) {
      // A late answer to a call from before the opening says nothing about the platform now.
      return;
    }
    open = false;
    trialInFlight = false;
    consecutiveFailures = 0;
    pauseNanos = MIN_PAUSE_NANOS;
  }

  /**
   * A permitted call failed or was not answered.
   *
   * @return whether this failure opened the circuit
   */
  synchronized boolean failed() {
    if (open && !trialInFlight) {
      return false;
    }
    if (open) {
      trialInFlight = false;
      pauseNanos = Math.min(MAX_PAUSE_NANOS, pauseNanos * 2);
      pause();
      return false;
    }
    consecutiveFailures++;
    if (consecutiveFailures < FAILURE_THRESHOLD) {
      return false;
    }
    open = true;
    pause();
    return true;
  }

  private void pause() {
    openUntilNanos = ticker.nanos() + pauseNanos / 2 + random.nextLong(pauseNanos / 2 + 1);
  }
}
