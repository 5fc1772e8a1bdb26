package dev.arbutusroad.http;

import java.nio.charset.StandardCharsets;

/**
 * The grammar of the lines of fields, in a head or in trailers (RFC 9112, section 5). A line that
 * continues the one before it is obsolete (section 5.2) and not accepted.
 */
final class FieldLine implements LineSyntax {
  /** The name of the field that states the length of a body; the check ignores its case. */
  private static final byte[] LENGTH_NAME = "content-length".getBytes(StandardCharsets.US_ASCII);

  private static final int LOWER_CASE_BIT = 0x20;

  private boolean inName = true;
  private int nameLength;
  private boolean matchesLengthName = true;
  private int lengthFields;

  /** Expects the first line of the next message. */
  void reset() {
    beginLine();
    lengthFields = 0;
  }

  private void beginLine() {
    inName = true;
    nameLength = 0;
    matchesLengthName = true;
  }

  @Override
  public int check(byte[] bytes, int start, int end) throws MalformedMessageException {
    int index = inName ? checkName(bytes, start, end) : start;
    while (index < end && Octets.isText(bytes[index])) {
      index++;
    }
    if (index < end && bytes[index] != Octets.CARRIAGE_RETURN) {
      throw new MalformedMessageException("the value of a field contains a control character");
    }
    return index;
  }

  private int checkName(byte[] bytes, int start, int end) throws MalformedMessageException {
    int index = start;
    while (index < end && Octets.isToken(bytes[index])) {
      index++;
    }
    matchesLengthName = matchesLengthName && continuesLengthName(bytes, start, index);
    nameLength += index - start;
    if (index == end) {
      return index;
    }
    if (nameLength == 0 || bytes[index] != ':') {
      throw noField();
    }
    inName = false;
    return index + 1;
  }

  /** Returns whether a range is the next part of the name of the length, whatever its case. */
  private boolean continuesLengthName(byte[] bytes, int start, int end) {
    if (nameLength + end - start > LENGTH_NAME.length) {
      return false;
    }
    for (int i = start; i < end; i++) {
      if ((bytes[i] | LOWER_CASE_BIT) != LENGTH_NAME[nameLength + i - start]) {
        return false;
      }
    }
    return true;
  }

  /**
   * Checks that the line is complete, and expects the next one.
   *
   * @throws MalformedMessageException if the line has no name, or states the length of the body
   *     once more: the decoder of an HTTP/1.0 message would use the first length only
   */
  @Override
  public void checkEnd() throws MalformedMessageException {
    if (inName) {
      throw noField();
    }
    if (matchesLengthName && nameLength == LENGTH_NAME.length) {
      lengthFields++;
      if (lengthFields > 1) {
        throw new MalformedMessageException("the length of the body is stated more than once");
      }
    }
    beginLine();
  }

  private static MalformedMessageException noField() {
    return new MalformedMessageException("a field line does not begin with a name and a colon");
  }
}
