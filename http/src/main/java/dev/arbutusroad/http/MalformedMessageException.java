package dev.arbutusroad.http;

import java.io.IOException;

/**
 * Thrown if the bytes of a peer are no HTTP/1.1 message. The peer is reachable, but what it meant
 * is unknown, and its connection can't be read any further.
 */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String reason) {
    super(reason);
  }

  public MalformedMessageException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
