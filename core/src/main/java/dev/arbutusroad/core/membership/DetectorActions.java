package dev.arbutusroad.core.membership;

/** The actions that the failure detector requests from the protocol. */
interface DetectorActions {
  /** Sends a probe. */
  void probe(Member target, long sequence);

  /** Asks other members to probe the target. */
  void probeIndirectly(Member target, long sequence);

  /** Declares a member suspect. */
  void suspect(Member member);

  /** Declares a member dead. */
  void declareDead(Member member);
}
