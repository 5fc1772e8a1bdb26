package dev.arbutusroad.http;

import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.function.IntPredicate;

/** The classes of bytes in the grammar of HTTP/1.1 (RFC 9110, section 5.6). */
final class Octets {
  static final byte LINE_FEED = '\n';
  static final byte CARRIAGE_RETURN = '\r';
  static final byte SPACE = ' ';
  static final byte TAB = '\t';

  /** The length of the name and the version of the protocol, in bytes. */
  static final int VERSION_LENGTH = "HTTP/1.1".length();

  /** Stops at the first byte that is not part of text. */
  static final ByteProcessor TEXT = Octets::isText;

  private static final int VALUES = 1 << Byte.SIZE;
  private static final int DELETE = 0x7f;
  private static final int HEX_RADIX = 16;
  private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** Tables, as each byte of a head is looked up. */
  private static final boolean[] TOKEN_OCTETS =
      table(
          octet ->
              octet < DELETE
                  && (Character.isLetterOrDigit(octet) || "!#$%&'*+-.^_`|~".indexOf(octet) >= 0));

  private static final boolean[] TEXT_OCTETS =
      table(octet -> octet == TAB || (octet >= SPACE && octet != DELETE));
  private static final boolean[] VISIBLE_OCTETS = table(octet -> octet > SPACE && octet < DELETE);

  private Octets() {}

  private static boolean[] table(IntPredicate predicate) {
    boolean[] octets = new boolean[VALUES];
    for (int octet = 0; octet < VALUES; octet++) {
      octets[octet] = predicate.test(octet);
    }
    return octets;
  }

  static boolean isToken(byte octet) {
    return TOKEN_OCTETS[octet & 0xff];
  }

  /** Returns whether a byte may occur in text: all but control characters other than the tab. */
  static boolean isText(byte octet) {
    return TEXT_OCTETS[octet & 0xff];
  }

  /** Returns whether a byte is visible ASCII. */
  static boolean isVisible(byte octet) {
    return VISIBLE_OCTETS[octet & 0xff];
  }

  static boolean isLineEnd(byte octet) {
    return octet == CARRIAGE_RETURN || octet == LINE_FEED;
  }

  /** Returns whether a byte is a blank or a tab. */
  static boolean isBlank(byte octet) {
    return octet == SPACE || octet == TAB;
  }

  static boolean isDigit(byte octet) {
    return octet >= '0' && octet <= '9';
  }

  /** Returns the value of a hexadecimal digit, or -1 if the byte is none. */
  static int hexDigit(byte octet) {
    return Character.digit(octet, HEX_RADIX);
  }

  /**
   * Returns whether a byte may stand at a position of the name and a version 1.x of the protocol.
   */
  static boolean isVersion(byte octet, int position) {
    return position < VERSION_PREFIX.length
        ? octet == VERSION_PREFIX[position]
        : position < VERSION_LENGTH && isDigit(octet);
  }
}
