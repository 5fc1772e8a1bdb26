package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;

/** Finds the lines of a message. */
final class Lines {
  /** The length of the CRLF that ends a line, in bytes. */
  static final int CRLF_LENGTH = 2;

  private Lines() {}

  /**
   * Returns the index of the CRLF that ends the line at an index, or -1 if it has not arrived.
   *
   * @throws MalformedMessageException if the line ends in another way
   */
  static int findEnd(ByteBuf buffer, int start) throws MalformedMessageException {
    int lineFeed = buffer.indexOf(start, buffer.writerIndex(), Octets.LINE_FEED);
    if (lineFeed < 0) {
      return -1;
    }
    if (lineFeed == start || buffer.getByte(lineFeed - 1) != Octets.CARRIAGE_RETURN) {
      throw new MalformedMessageException("a line does not end with CRLF");
    }
    return lineFeed - 1;
  }
}
