package dev.arbutusroad.node.datapath;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes a {@link CallContext} as a header value that is authenticated with the shared secret.
 *
 * <p>Layout: one version byte, the fields, then the first 16 bytes of their HMAC-SHA-256, in
 * unpadded base64url. Not thread-safe.
 */
final class ContextCodec {
  private static final byte FORMAT = 2;
  private static final int MAC_BYTES = 16;
  private static final int MAX_HEADER_CHARS = 1_024;

  private final Mac mac;

  ContextCodec(String sharedSecret) {
    try {
      mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(sharedSecret.getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HmacSHA256 is required of every Java runtime", e);
    }
  }

  String encode(CallContext context) {
    byte[] payload = serialize(context);
    byte[] signed = Arrays.copyOf(payload, payload.length + MAC_BYTES);
    System.arraycopy(mac.doFinal(payload), 0, signed, payload.length, MAC_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
  }

  /** Returns the context, or empty if the value is malformed or its MAC does not match. */
  Optional<CallContext> decode(CharSequence header) {
    if (header.length() > MAX_HEADER_CHARS) {
      return Optional.empty();
    }
    byte[] signed;
    try {
      signed = Base64.getUrlDecoder().decode(header.toString());
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
    int payloadBytes = signed.length - MAC_BYTES;
    if (payloadBytes <= 0) {
      return Optional.empty();
    }
    byte[] payload = Arrays.copyOf(signed, payloadBytes);
    byte[] expectedMac = Arrays.copyOf(mac.doFinal(payload), MAC_BYTES);
    byte[] actualMac = Arrays.copyOfRange(signed, payloadBytes, signed.length);
    return MessageDigest.isEqual(expectedMac, actualMac) ? deserialize(payload) : Optional.empty();
  }

  private static byte[] serialize(CallContext context) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(96);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(FORMAT);
      out.writeLong(context.originId());
      out.writeUTF(context.kind());
      out.writeByte(context.importance());
      out.writeBoolean(context.unrepeatable());
      out.writeByte(context.grant());
      out.writeLong(context.remainingMillis());
      out.writeUTF(context.caller());
      out.writeByte(context.depth());
      out.writeLong(context.configurationVersion());
      out.writeBoolean(context.repeated());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return bytes.toByteArray();
  }

  private static Optional<CallContext> deserialize(byte[] payload) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
      if (in.readByte() != FORMAT) {
        return Optional.empty();
      }
      return Optional.of(
          new CallContext(
              in.readLong(),
              in.readUTF(),
              in.readUnsignedByte(),
              in.readBoolean(),
              in.readUnsignedByte(),
              in.readLong(),
              in.readUTF(),
              in.readUnsignedByte(),
              in.readLong(),
              in.readBoolean()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
