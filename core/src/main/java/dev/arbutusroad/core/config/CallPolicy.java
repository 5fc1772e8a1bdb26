package dev.arbutusroad.core.config;

import java.util.Objects;

/**
 * The properties that a configuration assigns to a call.
 *
 * @param kind the stable name of the policy: the names of the winning rules, joined by "+"
 * @param importance from 0 (shed first) to 100 (shed last)
 * @param unrepeatable whether the call may run at most once
 * @param retryAllowance retries allowed in the whole call tree of one original request
 * @param deadlineMillis the time limit of the call in milliseconds, counted from its first node
 */
public record CallPolicy(
    String kind, int importance, boolean unrepeatable, int retryAllowance, long deadlineMillis) {
  /** The kind of a call that no rule matches. */
  public static final String DEFAULT_KIND = "default";

  public static final int MIN_IMPORTANCE = 0;
  public static final int MAX_IMPORTANCE = 100;

  /** Lower bound of normal importance; calls below it are background work. */
  public static final int NORMAL_IMPORTANCE = 20;

  /** Lower bound of the importance of important calls. */
  public static final int IMPORTANT_IMPORTANCE = 60;

  /** Lower bound of the importance of critical calls. */
  public static final int CRITICAL_IMPORTANCE = 90;

  public static final int MAX_RETRY_ALLOWANCE = 64;
  public static final long MAX_DEADLINE_MILLIS = 3_600_000;

  public CallPolicy {
    Objects.requireNonNull(kind, "kind");
    if (importance < MIN_IMPORTANCE || importance > MAX_IMPORTANCE) {
      throw new IllegalArgumentException("importance must be 0 to 100, not " + importance);
    }
    if (retryAllowance < 0 || retryAllowance > MAX_RETRY_ALLOWANCE) {
      throw new IllegalArgumentException("retryAllowance must be 0 to 64, not " + retryAllowance);
    }
    if (deadlineMillis < 1 || deadlineMillis > MAX_DEADLINE_MILLIS) {
      throw new IllegalArgumentException(
          "deadlineMillis must be 1 to 3600000, not " + deadlineMillis);
    }
  }
}
