package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;

/** The grammar of the head of a message: a start line, field lines and an empty line. */
final class HeadSyntax implements PartSyntax {
  private final StartLine startLine;
  private int precedingBytes;
  private boolean started;
  private boolean ended;
  private boolean hasLength;

  HeadSyntax(StartLine startLine) {
    this.startLine = startLine;
  }

  /** Expects the head of the next message. */
  void reset() {
    precedingBytes = 0;
    started = false;
    ended = false;
    hasLength = false;
  }

  @Override
  public int check(ByteBuf buffer, int start) throws MalformedMessageException {
    int lineStart = skipPrecedingBytes(buffer, start);
    checkFirstByte(buffer, lineStart);
    while (!ended) {
      int lineEnd = Lines.findEnd(buffer, lineStart);
      if (lineEnd < 0) {
        break;
      }
      checkLine(buffer, lineStart, lineEnd);
      lineStart = lineEnd + Lines.CRLF_LENGTH;
    }
    return lineStart;
  }

  private int skipPrecedingBytes(ByteBuf buffer, int start) {
    int index = start;
    while (!started
        && precedingBytes < startLine.maxPrecedingBytes()
        && index < buffer.writerIndex()
        && Octets.isLineEnd(buffer.getByte(index))) {
      index++;
      precedingBytes++;
    }
    return index;
  }

  /** Checks the first byte before its line is complete, as the decoder skips control characters. */
  private void checkFirstByte(ByteBuf buffer, int index) throws MalformedMessageException {
    if (!started && index < buffer.writerIndex() && !Octets.isToken(buffer.getByte(index))) {
      throw new MalformedMessageException("the message does not begin with its start line");
    }
  }

  private void checkLine(ByteBuf buffer, int start, int end) throws MalformedMessageException {
    if (!started) {
      startLine.check(buffer, start, end);
      started = true;
    } else if (start == end) {
      ended = true;
    } else {
      int nameEnd = checkFieldLine(buffer, start, end);
      countLengths(buffer, start, nameEnd);
    }
  }

  /**
   * Checks that a line begins with a name and a colon; the decoder checks the value. A line that
   * continues the one before it is obsolete (RFC 9112, section 5.2) and not accepted either.
   *
   * @return the index behind the name
   */
  static int checkFieldLine(ByteBuf buffer, int start, int end) throws MalformedMessageException {
    int nameEnd = buffer.forEachByte(start, end - start, Octets.TOKEN);
    if (nameEnd <= start || buffer.getByte(nameEnd) != ':') {
      throw new MalformedMessageException("a field line does not begin with a name and a colon");
    }
    return nameEnd;
  }

  /** Rejects a second length, as the decoder of an HTTP/1.0 message uses only the first one. */
  private void countLengths(ByteBuf buffer, int nameStart, int nameEnd)
      throws MalformedMessageException {
    int nameLength = nameEnd - nameStart;
    if (nameLength != HttpHeaderNames.CONTENT_LENGTH.length()) {
      return;
    }
    String name = buffer.toString(nameStart, nameLength, StandardCharsets.US_ASCII);
    if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
      if (hasLength) {
        throw new MalformedMessageException("the length of the body is stated more than once");
      }
      hasLength = true;
    }
  }
}
