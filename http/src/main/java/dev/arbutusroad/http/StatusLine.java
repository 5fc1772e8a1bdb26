package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;

/**
 * The grammar of a status line (RFC 9112, section 4) with a status that exists: 100 to 599 (RFC
 * 9110, section 15). The space before an empty reason phrase may be missing.
 */
final class StatusLine implements StartLine {
  private static final int STATUS_OFFSET = "HTTP/1.1 ".length();
  private static final int STATUS_END_OFFSET = "HTTP/1.1 200".length();

  @Override
  public void check(ByteBuf buffer, int start, int end) throws MalformedMessageException {
    int statusStart = start + STATUS_OFFSET;
    int statusEnd = start + STATUS_END_OFFSET;
    if (statusEnd > end
        || !Octets.isVersion(buffer, start, statusStart - 1)
        || buffer.getByte(statusStart - 1) != Octets.SPACE
        || (statusEnd < end && buffer.getByte(statusEnd) != Octets.SPACE)) {
      throw new MalformedMessageException("the answer does not start with a status line");
    }
    if (!isStatus(buffer, statusStart)) {
      throw new MalformedMessageException("the status of the answer is not between 100 and 599");
    }
    if (buffer.forEachByte(statusEnd, end - statusEnd, Octets.TEXT) >= 0) {
      throw new MalformedMessageException("the reason phrase contains a control character");
    }
  }

  @Override
  public int maxPrecedingBytes() {
    return 0;
  }

  private static boolean isStatus(ByteBuf buffer, int start) {
    byte hundreds = buffer.getByte(start);
    return hundreds >= '1'
        && hundreds <= '5'
        && Octets.isDigit(buffer.getByte(start + 1))
        && Octets.isDigit(buffer.getByte(start + 2));
  }
}
