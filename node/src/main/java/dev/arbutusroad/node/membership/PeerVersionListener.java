package dev.arbutusroad.node.membership;

import java.net.InetSocketAddress;

/**
 * Receives the configuration versions that peers advertise. Called on the membership thread; must
 * not block.
 */
@FunctionalInterface
public interface PeerVersionListener {
  /**
   * Handles the version that a peer advertised. Called for each message, about 30 times a second.
   *
   * @param peerId the member id of the peer
   * @param peerAddress the address from which its document can be fetched
   * @param version the version in force at the peer, or 0 if there is none
   * @param confirmationAgeMillis the time since the table service confirmed that version, or {@code
   *     Long.MAX_VALUE} if unknown
   */
  void onPeerVersion(
      String peerId, InetSocketAddress peerAddress, long version, long confirmationAgeMillis);
}
