package dev.arbutusroad.http;

import java.io.IOException;

/**
 * Thrown if the bytes of a peer are no HTTP/1.1 message. The peer is reachable, but what it meant
 * is unknown, and its connection can't be read any further.
 */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;
  private static final String PREFIX = "malformed message: ";

  /**
   * Creates an exception.
   *
   * @param reason a text that quotes nothing of the message, as it goes into logs
   */
  public MalformedMessageException(String reason) {
    super(PREFIX + reason);
  }

  private MalformedMessageException(String reason, Throwable cause) {
    super(PREFIX + reason, cause);
  }

  /**
   * Returns the exception for a message that could not be decoded. The texts of the decoder's own
   * exceptions quote the message, so logs must not contain them.
   */
  static MalformedMessageException of(Throwable cause) {
    return cause instanceof MalformedMessageException malformed
        ? malformed
        : new MalformedMessageException(
            "the decoder rejects it: " + cause.getClass().getSimpleName(), cause);
  }
}
