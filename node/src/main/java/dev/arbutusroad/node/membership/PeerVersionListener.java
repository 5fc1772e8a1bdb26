package dev.arbutusroad.node.membership;

import java.net.InetSocketAddress;

/** Follows the configuration versions of peers. Called on the membership thread; never blocks. */
@FunctionalInterface
public interface PeerVersionListener {
  /**
   * A peer said which version it has. This is called for each message, some 30 times a second.
   *
   * @param peerId the id of the peer
   * @param peerAddress where its document can be fetched
   * @param version its version in force, 0 for none
   * @param confirmationAgeMillis the time since the table service confirmed that version; {@code
   *     Long.MAX_VALUE} when nothing is known about it
   */
  void onPeerVersion(
      String peerId, InetSocketAddress peerAddress, long version, long confirmationAgeMillis);
}
