package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.settings.SharedSecret;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;

/**
 * Computes and verifies the proofs of a connection's handshake and derives the keys of its frames.
 * Not thread-safe.
 */
final class Handshake {
  static final int NONCE_BYTES = 16;

  /** The side of a connection. Proofs include it, so that none can be reflected to its sender. */
  enum Side {
    CONNECTING,
    ACCEPTING;

    private ByteBuffer label() {
      return ByteBuffer.wrap(("arbutus-" + name()).getBytes(StandardCharsets.US_ASCII));
    }
  }

  private static final SecureRandom RANDOM = new SecureRandom();

  private final MessageAuthenticator authenticator;

  Handshake(SharedSecret secret) {
    authenticator = new MessageAuthenticator(secret.bytes());
  }

  static ByteBuffer newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return ByteBuffer.wrap(nonce).asReadOnlyBuffer();
  }

  /** Returns the proof that a side knows the shared secret. */
  ByteBuffer proof(Side side, ByteBuffer acceptingNonce, ByteBuffer connectingNonce, String id) {
    return ByteBuffer.wrap(
        authenticator.mac(side.label(), acceptingNonce, connectingNonce, idBytes(id)));
  }

  boolean verify(
      ByteBuffer claimed,
      Side side,
      ByteBuffer acceptingNonce,
      ByteBuffer connectingNonce,
      String id) {
    if (acceptingNonce.remaining() != NONCE_BYTES || connectingNonce.remaining() != NONCE_BYTES) {
      return false;
    }
    byte[] bytes = new byte[claimed.remaining()];
    claimed.duplicate().get(bytes);
    return authenticator.verify(bytes, side.label(), acceptingNonce, connectingNonce, idBytes(id));
  }

  /** Returns the key for the frames that one side of the connection sends. */
  byte[] frameKey(Side sender, ByteBuffer acceptingNonce, ByteBuffer connectingNonce) {
    ByteBuffer purpose = ByteBuffer.wrap("arbutus-frames".getBytes(StandardCharsets.US_ASCII));
    return authenticator.fullMac(purpose, sender.label(), acceptingNonce, connectingNonce);
  }

  private static ByteBuffer idBytes(String id) {
    return ByteBuffer.wrap(id.getBytes(StandardCharsets.UTF_8));
  }
}
