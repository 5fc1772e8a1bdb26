package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/** The classes of bytes in the grammar of HTTP/1.1 (RFC 9110, section 5.6). */
final class Octets {
  static final byte LINE_FEED = '\n';
  static final byte CARRIAGE_RETURN = '\r';
  static final byte SPACE = ' ';
  static final byte TAB = '\t';
  static final byte DELETE = 0x7f;

  /** Stops at the first byte that is not part of a token. */
  static final ByteProcessor TOKEN = Octets::isToken;

  /** Stops at the first control character other than a tab. */
  static final ByteProcessor TEXT = Octets::isText;

  /** Stops at the first byte that is not a visible ASCII character. */
  static final ByteProcessor VISIBLE = octet -> octet > SPACE && octet != DELETE;

  private static final int HEX_RADIX = 16;
  private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final int VERSION_LENGTH = "HTTP/1.1".length();
  private static final boolean[] TOKEN_OCTETS = tokenOctets();

  private Octets() {}

  private static boolean[] tokenOctets() {
    boolean[] octets = new boolean[Byte.MAX_VALUE + 1];
    for (int octet = 0; octet < octets.length; octet++) {
      octets[octet] = Character.isLetterOrDigit(octet) || "!#$%&'*+-.^_`|~".indexOf(octet) >= 0;
    }
    return octets;
  }

  static boolean isToken(byte octet) {
    return octet >= 0 && TOKEN_OCTETS[octet];
  }

  /**
   * Returns whether a byte may occur in text: all but control characters, which exclude the tab.
   */
  static boolean isText(byte octet) {
    return octet < 0 || (octet >= SPACE && octet != DELETE) || octet == TAB;
  }

  static boolean isLineEnd(byte octet) {
    return octet == CARRIAGE_RETURN || octet == LINE_FEED;
  }

  /** Returns whether a byte is a blank or a tab. */
  static boolean isBlank(byte octet) {
    return octet == SPACE || octet == TAB;
  }

  /** Returns the value of a hexadecimal digit, or -1 if the byte is none. */
  static int hexDigit(byte octet) {
    return Character.digit(octet, HEX_RADIX);
  }

  static boolean isDigit(byte octet) {
    return octet >= '0' && octet <= '9';
  }

  /** Returns whether a range is exactly the name of the protocol with a version 1.x. */
  static boolean isVersion(ByteBuf buffer, int start, int end) {
    if (end - start != VERSION_LENGTH) {
      return false;
    }
    for (int i = 0; i < VERSION_PREFIX.length; i++) {
      if (buffer.getByte(start + i) != VERSION_PREFIX[i]) {
        return false;
      }
    }
    return isDigit(buffer.getByte(end - 1));
  }
}
