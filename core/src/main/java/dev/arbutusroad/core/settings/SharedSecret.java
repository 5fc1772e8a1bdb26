package dev.arbutusroad.core.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** The secret by which nodes authenticate each other. {@link #toString} does not reveal it. */
public final class SharedSecret {
  /** 32 hexadecimal characters hold the 128 bits that make forging an HMAC infeasible. */
  public static final int MIN_LENGTH = 32;

  public static final int MAX_LENGTH = 1_024;

  private final byte[] bytes;

  /** Creates a secret from its text in the settings. */
  public SharedSecret(String text) {
    if (text.length() < MIN_LENGTH || text.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a shared secret has " + MIN_LENGTH + " to " + MAX_LENGTH + " characters");
    }
    this.bytes = text.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns a copy of the secret as the key of an HMAC. */
  public byte[] bytes() {
    return bytes.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SharedSecret that && MessageDigest.isEqual(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return SharedSecret.class.hashCode();
  }

  @Override
  public String toString() {
    return "SharedSecret[hidden]";
  }
}
