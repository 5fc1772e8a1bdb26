package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;

/** Sends what the membership protocol decides to send. */
public interface GossipTransport {
  /**
   * Sends a datagram.
   *
   * @return its size in bytes
   */
  int send(InetSocketAddress to, Gossip gossip);

  /** Starts a full state exchange with the member at an address. */
  void exchange(InetSocketAddress with);
}
