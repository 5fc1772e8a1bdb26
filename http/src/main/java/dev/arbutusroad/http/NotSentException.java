package dev.arbutusroad.http;

import java.io.IOException;

/** Thrown if no connection could be opened, so that no byte of the request was sent. */
public final class NotSentException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception for a failed attempt to connect. */
  public NotSentException(Throwable cause) {
    super("cannot connect: " + cause.getMessage(), cause);
  }
}
