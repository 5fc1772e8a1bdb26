package dev.arbutusroad.tools.platform;

import java.util.Objects;

/**
 * A fault of the stand-in platform.
 *
 * @param kind what goes wrong
 * @param delayMillis the delay of {@code SLOW} answers, or the age of {@code OLD_READS}
 * @param durationMillis how long the fault lasts; 0 for no limit
 * @param requests how many requests it affects; 0 for no limit
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
    /** Reads are answered from the state some time ago. */
    OLD_READS,
    /** Calls are refused with 503; nothing takes effect. */
    REFUSE,
    /** Calls are refused with 429; nothing takes effect. */
    OVER_RATE,
    /** The history that feeds continue from is gone. */
    FORGET,
    /** Commits take effect after {@code delayMillis}; their connections are closed at once. */
    LATE_WRITE,
    /** Commits are refused with a conflict on their first key, whatever its version. */
    SPURIOUS_CONFLICT
  }

  public PlatformFault {
    Objects.requireNonNull(kind, "kind");
    if (delayMillis < 0 || durationMillis < 0 || requests < 0) {
      throw new IllegalArgumentException("the numbers of a fault must not be negative");
    }
  }
}
