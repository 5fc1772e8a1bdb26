package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.FastThreadLocal;

/** The grammar of the head of a message: a start line, field lines and an empty line. */
final class HeadSyntax implements PartSyntax {
  private static final int WINDOW_BYTES = 1_024;

  /** Bytes are copied here, as a loop over an array costs a fraction of one over a buffer. */
  private static final FastThreadLocal<byte[]> WINDOW =
      new FastThreadLocal<>() {
        @Override
        protected byte[] initialValue() {
          return new byte[WINDOW_BYTES];
        }
      };

  private enum State {
    BEFORE_START_LINE,
    START_LINE,
    START_LINE_END,
    LINE_START,
    FIELD_LINE,
    FIELD_LINE_END,
    EMPTY_LINE_END,
    ENDED
  }

  private final StartLine startLine;
  private final FieldLine fieldLine = new FieldLine();
  private State state = State.BEFORE_START_LINE;
  private int precedingBytes;

  HeadSyntax(StartLine startLine) {
    this.startLine = startLine;
  }

  /** Expects the head of the next message. */
  void reset() {
    startLine.reset();
    fieldLine.reset();
    state = State.BEFORE_START_LINE;
    precedingBytes = 0;
  }

  @Override
  public int check(ByteBuf buffer, int start) throws MalformedMessageException {
    byte[] window = WINDOW.get();
    int index = start;
    while (index < buffer.writerIndex() && state != State.ENDED) {
      int length = Math.min(buffer.writerIndex() - index, window.length);
      buffer.getBytes(index, window, 0, length);
      index += check(window, length);
    }
    return index;
  }

  /** Returns the index behind the last byte that belongs to the head. */
  private int check(byte[] bytes, int end) throws MalformedMessageException {
    int index = 0;
    while (index < end && state != State.ENDED) {
      index =
          switch (state) {
            case BEFORE_START_LINE -> skipPrecedingByte(bytes, index);
            case START_LINE -> checkLine(startLine, bytes, index, end, State.START_LINE_END);
            case START_LINE_END -> checkLineFeed(bytes, index, State.LINE_START);
            case LINE_START -> checkLineStart(bytes, index);
            case FIELD_LINE -> checkLine(fieldLine, bytes, index, end, State.FIELD_LINE_END);
            case FIELD_LINE_END -> checkLineFeed(bytes, index, State.LINE_START);
            case EMPTY_LINE_END -> checkLineFeed(bytes, index, State.ENDED);
            case ENDED -> index;
          };
    }
    return index;
  }

  private int skipPrecedingByte(byte[] bytes, int index) {
    if (precedingBytes < startLine.maxPrecedingBytes() && Octets.isLineEnd(bytes[index])) {
      precedingBytes++;
      return index + 1;
    }
    state = State.START_LINE;
    return index;
  }

  /** Checks bytes of a line, and proceeds to a state behind its carriage return. */
  private int checkLine(LineSyntax line, byte[] bytes, int start, int end, State next)
      throws MalformedMessageException {
    int lineEnd = line.check(bytes, start, end);
    if (lineEnd == end) {
      return end;
    }
    line.checkEnd();
    state = next;
    return lineEnd + 1;
  }

  private int checkLineStart(byte[] bytes, int index) {
    if (bytes[index] == Octets.CARRIAGE_RETURN) {
      state = State.EMPTY_LINE_END;
      return index + 1;
    }
    state = State.FIELD_LINE;
    return index;
  }

  private int checkLineFeed(byte[] bytes, int index, State next) throws MalformedMessageException {
    if (bytes[index] != Octets.LINE_FEED) {
      throw new MalformedMessageException("a carriage return does not end a line of the head");
    }
    state = next;
    return index + 1;
  }
}
