package dev.arbutusroad.core.membership;

/** The status that a report gives a request fingerprint, in ascending precedence. */
public enum FingerprintKind {
  /** The request was in flight when a target died. */
  SUSPECT,
  /** The request completed on a target. */
  CLEARED,
  /** The request is rejected everywhere. */
  MARKED
}
