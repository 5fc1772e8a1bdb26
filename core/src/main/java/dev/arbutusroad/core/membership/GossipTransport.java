package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;

/** Sends the messages of the membership protocol. */
public interface GossipTransport {
  /**
   * Sends a datagram.
   *
   * @return the encoded size in bytes
   */
  int send(InetSocketAddress to, Gossip gossip);

  /** Starts a full state exchange with the member at an address. */
  void exchange(InetSocketAddress peer);
}
