package dev.arbutusroad.core.membership;

import java.util.Objects;

/**
 * A report about a request fingerprint that is disseminated to all members.
 *
 * @param value the fingerprint, opaque to membership
 * @param kind the reported status
 * @param count increases with each new report of the same kind, such as the deaths observed
 * @param ageMillis the time since the report was made
 */
public record FingerprintReport(long value, FingerprintKind kind, int count, long ageMillis) {
  public FingerprintReport {
    Objects.requireNonNull(kind, "kind");
    if (count < 0 || ageMillis < 0) {
      throw new IllegalArgumentException("count and age must not be negative");
    }
  }

  /** Returns whether this report replaces another one about the same fingerprint. */
  public boolean supersedes(FingerprintReport other) {
    return count > other.count || (count == other.count && kind.compareTo(other.kind) > 0);
  }

  /** Returns a copy of this report with another age. */
  public FingerprintReport withAgeMillis(long newAgeMillis) {
    return new FingerprintReport(value, kind, count, newAgeMillis);
  }
}
