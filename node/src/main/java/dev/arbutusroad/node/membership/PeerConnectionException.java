package dev.arbutusroad.node.membership;

import java.io.IOException;

/** Thrown when a connection to a peer fails or the peer violates the protocol. */
final class PeerConnectionException extends IOException {
  private static final long serialVersionUID = 1L;

  PeerConnectionException(String message) {
    super(message);
  }
}
