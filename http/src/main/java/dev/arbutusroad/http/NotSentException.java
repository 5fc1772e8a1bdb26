package dev.arbutusroad.http;

import java.io.IOException;

/** No connection could be opened, so no byte of the request has left. */
public final class NotSentException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for a connection that failed. */
  public NotSentException(Throwable cause) {
    super("no connection: " + cause.getMessage(), cause);
  }
}
