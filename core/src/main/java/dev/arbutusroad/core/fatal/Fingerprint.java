package dev.arbutusroad.core.fatal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;

/**
 * Identifies requests that are alike enough to crash a target in the same way.
 *
 * @param value 64 bits of a hash of the service, method, path with query, start of the body and
 *     order key
 */
public record Fingerprint(long value) {
  /** The number of bytes at the start of the body that are hashed. */
  public static final int BODY_BYTES = 1_024;

  private static final byte SEPARATOR = 0;

  /**
   * Cloned for each hash and never updated itself: looking the algorithm up takes several times as
   * long as hashing a request.
   */
  private static final MessageDigest DIGEST_PROTOTYPE = createPrototype();

  /**
   * Returns the fingerprint of a request.
   *
   * @param body the start of the body, empty if it is not held
   */
  public static Fingerprint of(
      String service, String method, String pathAndQuery, byte[] body, Optional<String> orderKey) {
    MessageDigest digest = newDigest();
    update(digest, service);
    update(digest, method);
    update(digest, pathAndQuery);
    update(digest, orderKey.orElse(""));
    digest.update(body, 0, Math.min(body.length, BODY_BYTES));
    byte[] hash = digest.digest();
    long value = 0;
    for (int i = 0; i < Long.BYTES; i++) {
      value = value << Byte.SIZE | (hash[i] & 0xff);
    }
    return new Fingerprint(value);
  }

  private static void update(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update(SEPARATOR);
  }

  private static MessageDigest newDigest() {
    try {
      return (MessageDigest) DIGEST_PROTOTYPE.clone();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException(
          "the SHA-256 digest of this Java runtime cannot be cloned", e);
    }
  }

  private static MessageDigest createPrototype() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
    }
  }

  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
