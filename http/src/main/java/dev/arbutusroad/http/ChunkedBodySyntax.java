package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;

/** The grammar of a body in chunks (RFC 9112, section 7.1). */
final class ChunkedBodySyntax implements PartSyntax {
  private static final int HEX_DIGIT_BITS = 4;

  private enum State {
    SIZE_LINE,
    DATA,
    DATA_END,
    TRAILERS,
    ENDED
  }

  private State state = State.SIZE_LINE;
  private int remainingBytes;

  @Override
  public int check(ByteBuf buffer, int start) throws MalformedMessageException {
    int checked = start;
    int previous;
    do {
      previous = checked;
      checked =
          switch (state) {
            case SIZE_LINE -> checkSizeLine(buffer, checked);
            case DATA -> skipData(buffer, checked);
            case DATA_END -> checkDataEnd(buffer, checked);
            case TRAILERS -> checkTrailer(buffer, checked);
            case ENDED -> checked;
          };
    } while (checked > previous);
    return checked;
  }

  private int checkSizeLine(ByteBuf buffer, int start) throws MalformedMessageException {
    int end = Lines.findEnd(buffer, start);
    if (end < 0) {
      return start;
    }
    long size = 0;
    int index = start;
    while (index < end && Octets.hexDigit(buffer.getByte(index)) >= 0) {
      size = (size << HEX_DIGIT_BITS) + Octets.hexDigit(buffer.getByte(index));
      if (size > Integer.MAX_VALUE) {
        throw new MalformedMessageException("a chunk is larger than 2 GiB");
      }
      index++;
    }
    if (index == start || !isExtension(buffer, index, end)) {
      throw new MalformedMessageException("a chunk does not begin with its size");
    }
    remainingBytes = (int) size;
    state = size == 0 ? State.TRAILERS : State.DATA;
    return end + Lines.CRLF_LENGTH;
  }

  /** Returns whether a range is empty or begins with a semicolon, after optional blanks. */
  private static boolean isExtension(ByteBuf buffer, int start, int end) {
    if (start == end) {
      return true;
    }
    int index = start;
    while (index < end && Octets.isBlank(buffer.getByte(index))) {
      index++;
    }
    return index < end
        && buffer.getByte(index) == ';'
        && buffer.forEachByte(index, end - index, Octets.TEXT) < 0;
  }

  private int skipData(ByteBuf buffer, int start) {
    int skipped = Math.min(remainingBytes, buffer.writerIndex() - start);
    remainingBytes -= skipped;
    if (remainingBytes == 0) {
      state = State.DATA_END;
    }
    return start + skipped;
  }

  private int checkDataEnd(ByteBuf buffer, int start) throws MalformedMessageException {
    int arrived = buffer.writerIndex() - start;
    if ((arrived >= 1 && buffer.getByte(start) != Octets.CARRIAGE_RETURN)
        || (arrived >= Lines.CRLF_LENGTH && buffer.getByte(start + 1) != Octets.LINE_FEED)) {
      throw new MalformedMessageException("a chunk is longer than its size");
    }
    if (arrived < Lines.CRLF_LENGTH) {
      return start;
    }
    state = State.SIZE_LINE;
    return start + Lines.CRLF_LENGTH;
  }

  private int checkTrailer(ByteBuf buffer, int start) throws MalformedMessageException {
    int end = Lines.findEnd(buffer, start);
    if (end < 0) {
      return start;
    }
    if (end == start) {
      state = State.ENDED;
    } else {
      checkFieldLine(ByteBufUtil.getBytes(buffer, start, end - start));
    }
    return end + Lines.CRLF_LENGTH;
  }

  private static void checkFieldLine(byte[] line) throws MalformedMessageException {
    FieldLine trailer = new FieldLine();
    if (trailer.check(line, 0, line.length) < line.length) {
      throw new MalformedMessageException("the value of a trailer contains a carriage return");
    }
    trailer.checkEnd();
  }
}
