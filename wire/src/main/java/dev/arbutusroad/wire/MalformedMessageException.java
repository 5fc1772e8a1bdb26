package dev.arbutusroad.wire;

/** Thrown if a message from a peer exceeds a limit, lacks a field or cannot be parsed. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message);
  }

  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
