package dev.arbutusroad.http;

/** The grammar of a line, whose bytes may arrive in any pieces. */
interface LineSyntax {
  /**
   * Checks bytes of the line, from its first byte or from where the last call ended.
   *
   * @return the index of the carriage return that ends the line, or {@code end}
   * @throws MalformedMessageException if the bytes are not part of such a line
   */
  int check(byte[] bytes, int start, int end) throws MalformedMessageException;

  /**
   * Checks that the line is complete; called at its carriage return.
   *
   * @throws MalformedMessageException if it is too short
   */
  void checkEnd() throws MalformedMessageException;
}
