package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;

/** Receives the events of the membership protocol, on the thread that runs the protocol. */
public interface MembershipListener {
  /** Called when a member, possibly this node itself, has changed in this node's view. */
  default void onMember(Member member) {}

  /** Called for each message with the configuration version that the sending peer advertises. */
  default void onPeerVersion(
      String id, InetSocketAddress peer, AdvertisedConfiguration advertised) {}

  /** Called when a report about a request fingerprint is new to this node. */
  default void onFingerprint(FingerprintReport report) {}

  /** Called when this node rejoins after it was paused for {@code gapNanos}. */
  default void onPause(long gapNanos) {}
}
