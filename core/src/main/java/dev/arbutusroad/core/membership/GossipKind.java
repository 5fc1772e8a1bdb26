package dev.arbutusroad.core.membership;

/** The purpose of a gossip datagram. */
public enum GossipKind {
  /** Asks the receiver to acknowledge. */
  PROBE,
  /** Answers a probe. */
  ACK,
  /** Asks the receiver to probe a third member. */
  INDIRECT_PROBE,
  /** Carries changes only. */
  UPDATE
}
