package dev.arbutusroad.http;

/** Checks the first line of a message, whose bytes may arrive in any pieces. */
interface StartLine {
  /** Expects the line of the next message. */
  void reset();

  /**
   * Checks bytes of the line.
   *
   * @return the index of the carriage return that ends the line, or {@code end}
   * @throws MalformedMessageException if the bytes are not part of a start line
   */
  int check(byte[] bytes, int start, int end) throws MalformedMessageException;

  /**
   * Checks that the line is complete.
   *
   * @throws MalformedMessageException if it is too short
   */
  void checkEnd() throws MalformedMessageException;

  /** Returns how many bytes of a CRLF may precede the line, as some clients end a body with one. */
  int maxPrecedingBytes();
}
