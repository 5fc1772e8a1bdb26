package dev.arbutusroad.core.fatal;

import java.util.Objects;

/**
 * The status of a fingerprint, as nodes exchange it by gossip.
 *
 * @param fingerprint identifies the requests that the entry is about
 * @param status the status of the fingerprint
 * @param count a version that grows each time the fingerprint becomes a suspect again after it was
 *     cleared; it orders updates that arrive out of order without a common clock
 * @param ageNanos the time since the first node recorded the status, in nanoseconds
 */
public record FatalEntry(Fingerprint fingerprint, Status status, int count, long ageNanos) {
  /** The status of a fingerprint, in ascending precedence. */
  public enum Status {
    /** The request was in flight when a target died. */
    SUSPECT,
    /** The request completed after it had become a suspect. */
    CLEARED,
    /** The request was the only suspect in flight when another target died; it is refused. */
    MARKED
  }

  public FatalEntry {
    Objects.requireNonNull(fingerprint, "fingerprint");
    Objects.requireNonNull(status, "status");
    if (ageNanos < 0) {
      throw new IllegalArgumentException("ageNanos must not be negative, but is " + ageNanos);
    }
  }
}
