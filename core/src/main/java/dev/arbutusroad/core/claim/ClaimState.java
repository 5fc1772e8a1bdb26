package dev.arbutusroad.core.claim;

/** The state of a claim. */
public enum ClaimState {
  /** The holder of the claim may run the order at any time. No other attempt takes it over. */
  STARTED,
  /** The order has run; the row holds its answer if it could be recorded. */
  DONE,
  /** The order may have run; its result cannot be determined any more. */
  UNKNOWN,
  /** The holder has confirmed that the order did not run, so it may be claimed again. */
  RELEASED
}
