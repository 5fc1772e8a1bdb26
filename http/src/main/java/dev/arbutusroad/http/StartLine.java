package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;

/** The grammar of the first line of a message. */
interface StartLine {
  /**
   * Checks a line.
   *
   * @param end the index behind the last byte of the line, without its CRLF
   * @throws MalformedMessageException if the line is not a start line
   */
  void check(ByteBuf buffer, int start, int end) throws MalformedMessageException;

  /** Returns how many bytes of a CRLF may precede the line, as some clients end a body with one. */
  int maxPrecedingBytes();
}
