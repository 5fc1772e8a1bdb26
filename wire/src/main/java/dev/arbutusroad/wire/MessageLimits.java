package dev.arbutusroad.wire;

/** Limits on messages from peers. A message that exceeds a limit is rejected as a whole. */
public final class MessageLimits {
  public static final int MAX_ID_LENGTH = 100;

  /** The maximum length of the names of services, regions and failure domains. */
  public static final int MAX_NAME_LENGTH = 64;

  public static final int MAX_MEMBERS_IN_DATAGRAM = 64;

  public static final int MAX_FINGERPRINTS_IN_DATAGRAM = 64;

  public static final int MAX_MEMBERS_IN_STATE = 8_192;

  public static final int MAX_FINGERPRINTS_IN_STATE = 1_024;

  public static final int MAX_BUCKETS = 1_024;

  /** Fits 8,192 members of up to 380 bytes and 1,024 fingerprints of up to 32 bytes. */
  public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** The limit for frames of a peer that has not yet proved that it knows the shared secret. */
  public static final int MAX_HANDSHAKE_FRAME_BYTES = 512;

  public static final int MAX_NONCE_BYTES = 32;

  private MessageLimits() {}
}
