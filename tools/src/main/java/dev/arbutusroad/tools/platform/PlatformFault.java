package dev.arbutusroad.tools.platform;

import java.util.Objects;

/**
 * A fault of the stand-in platform.
 *
 * @param kind kind of fault
 * @param delayMillis delay of {@code SLOW} answers and of {@code LATE_WRITE}, or age of {@code
 *     OLD_READS}
 * @param durationMillis duration of the fault; 0 for no limit
 * @param requests number of requests that it affects; 0 for no limit
 */
public record PlatformFault(Kind kind, long delayMillis, long durationMillis, long requests) {
  /** The kinds of fault. */
  public enum Kind {
    /** Connections are closed without an answer and nothing takes effect. */
    DOWN,
    /** Answers are delayed; writes take effect before the delay. */
    SLOW,
    /** Writes take effect and the connection is closed without an answer. */
    DROP_ANSWER,
    /** Reads return the state as it was {@code delayMillis} ago. */
    OLD_READS,
    /** Calls are refused with 503; nothing takes effect. */
    REFUSE,
    /** Calls are refused with 429; nothing takes effect. */
    OVER_RATE,
    /** The change feed has lost its history and answers with 410. */
    FORGET,
    /** Commits take effect after {@code delayMillis}; their connections are closed at once. */
    LATE_WRITE,
    /** Commits are refused with a conflict on their first key, whatever its version. */
    SPURIOUS_CONFLICT
  }

  public PlatformFault {
    Objects.requireNonNull(kind, "kind");
    if (delayMillis < 0 || durationMillis < 0 || requests < 0) {
      throw new IllegalArgumentException(
          "delayMillis, durationMillis and requests must not be negative");
    }
  }
}
