package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.settings.SharedSecret;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Prepends a MAC to datagrams and verifies it. Not thread-safe. */
public final class DatagramSeal {
  /** Separates the MACs of datagrams from those computed with the same key for other uses. */
  private static final byte[] PURPOSE = "arbutus-datagram".getBytes(StandardCharsets.US_ASCII);

  private final MessageAuthenticator authenticator;

  public DatagramSeal(SharedSecret secret) {
    authenticator = new MessageAuthenticator(secret.bytes());
  }

  public byte[] seal(byte[] message) {
    byte[] mac = authenticator.mac(ByteBuffer.wrap(PURPOSE), ByteBuffer.wrap(message));
    return ByteBuffer.allocate(mac.length + message.length).put(mac).put(message).array();
  }

  /** Returns the message of a sealed datagram, or empty if the MAC is missing or invalid. */
  public Optional<ByteBuffer> open(ByteBuffer datagram) {
    if (datagram.remaining() < MessageAuthenticator.MAC_BYTES) {
      return Optional.empty();
    }
    byte[] mac = new byte[MessageAuthenticator.MAC_BYTES];
    datagram.get(mac);
    ByteBuffer message = datagram.slice();
    return authenticator.verify(mac, ByteBuffer.wrap(PURPOSE), message)
        ? Optional.of(message)
        : Optional.empty();
  }
}
