package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;

/**
 * The grammar of a request line (RFC 9112, section 3). The target may contain all visible ASCII
 * characters, also those that should have been percent-encoded: they are forwarded unchanged.
 */
final class RequestLine implements StartLine {
  private static final int VERSION_LENGTH = "HTTP/1.1".length();

  @Override
  public void check(ByteBuf buffer, int start, int end) throws MalformedMessageException {
    int methodEnd = buffer.forEachByte(start, end - start, Octets.TOKEN);
    int versionStart = end - VERSION_LENGTH;
    if (methodEnd <= start
        || buffer.getByte(methodEnd) != Octets.SPACE
        || versionStart <= methodEnd + 2
        || buffer.getByte(versionStart - 1) != Octets.SPACE
        || !Octets.isVersion(buffer, versionStart, end)) {
      throw new MalformedMessageException("the request does not start with a request line");
    }
    int targetStart = methodEnd + 1;
    int targetLength = versionStart - 1 - targetStart;
    if (buffer.forEachByte(targetStart, targetLength, Octets.VISIBLE) >= 0) {
      throw new MalformedMessageException("the target of the request is not visible ASCII");
    }
  }

  /** An empty line before the request line (RFC 9112, section 2.2). */
  @Override
  public int maxPrecedingBytes() {
    return Lines.CRLF_LENGTH;
  }
}
