package dev.arbutusroad.http;

/**
 * The grammar of a status line (RFC 9112, section 4) with a status that exists: 100 to 599 (RFC
 * 9110, section 15). The space before an empty reason phrase may be missing.
 */
final class StatusLine implements StartLine {
  private static final int STATUS_START = Octets.VERSION_LENGTH + 1;
  private static final int STATUS_END = STATUS_START + "200".length();

  private int position;

  @Override
  public void reset() {
    position = 0;
  }

  @Override
  public int check(byte[] bytes, int start, int end) throws MalformedMessageException {
    int index = start;
    while (index < end && bytes[index] != Octets.CARRIAGE_RETURN) {
      checkOctet(bytes[index]);
      position++;
      index++;
    }
    return index;
  }

  private void checkOctet(byte octet) throws MalformedMessageException {
    if (position > STATUS_END) {
      if (!Octets.isText(octet)) {
        throw new MalformedMessageException("the reason phrase contains a control character");
      }
    } else if (position < STATUS_START - 1) {
      if (!Octets.isVersion(octet, position)) {
        throw noStatusLine();
      }
    } else if (position == STATUS_START - 1 || position == STATUS_END) {
      if (octet != Octets.SPACE) {
        throw noStatusLine();
      }
    } else if (!isStatus(octet)) {
      throw new MalformedMessageException("the status of the answer is not between 100 and 599");
    }
  }

  private boolean isStatus(byte octet) {
    return position == STATUS_START ? octet >= '1' && octet <= '5' : Octets.isDigit(octet);
  }

  @Override
  public void checkEnd() throws MalformedMessageException {
    if (position < STATUS_END) {
      throw noStatusLine();
    }
  }

  private static MalformedMessageException noStatusLine() {
    return new MalformedMessageException("the answer does not begin with a status line");
  }

  @Override
  public int maxPrecedingBytes() {
    return 0;
  }
}
