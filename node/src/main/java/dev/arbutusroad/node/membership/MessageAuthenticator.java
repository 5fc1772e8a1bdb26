package dev.arbutusroad.node.membership;

import java.nio.ByteBuffer;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Computes HMAC-SHA-256, truncated to 128 bits as RFC 2104 allows. Not thread-safe. */
final class MessageAuthenticator {
  static final int MAC_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  MessageAuthenticator(byte[] key) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException("every Java platform must support " + ALGORITHM, e);
    }
  }

  /**
   * Returns the truncated MAC of the concatenated parts. The caller must make their boundaries
   * unambiguous.
   */
  byte[] mac(ByteBuffer... parts) {
    return Arrays.copyOf(fullMac(parts), MAC_BYTES);
  }

  /** Returns the full MAC of the concatenated parts, for use as a derived key. */
  byte[] fullMac(ByteBuffer... parts) {
    for (ByteBuffer part : parts) {
      mac.update(part.duplicate());
    }
    return mac.doFinal();
  }

  /** Returns whether a truncated MAC matches the parts, comparing in constant time. */
  boolean verify(byte[] claimed, ByteBuffer... parts) {
    return MessageDigest.isEqual(claimed, mac(parts));
  }
}
