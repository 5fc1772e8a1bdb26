package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;

/** Follows what the membership protocol learns. Called on the protocol's thread. */
public interface MembershipListener {
  /** A member changed in this node's view, itself included. */
  default void onMember(Member member) {}

  /** A peer said which configuration it has; this is called for each message. */
  default void onPeerVersion(String id, InetSocketAddress peer, AdvertisedConfiguration mark) {}

  /** A statement about a request fingerprint is new here. */
  default void onFingerprint(FingerprintReport report) {}

  /** This node was paused for a while and rejoins. */
  default void onPause(long gapNanos) {}
}
