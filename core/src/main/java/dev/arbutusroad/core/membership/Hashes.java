package dev.arbutusroad.core.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** 64-bit hashes that are the same on every node. */
final class Hashes {
  private Hashes() {}

  /** Returns the first 64 bits of the SHA-256 of the parts, each prefixed with its length. */
  static long of(String... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (String part : parts) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
        digest.update(bytes);
      }
      return ByteBuffer.wrap(digest.digest()).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
