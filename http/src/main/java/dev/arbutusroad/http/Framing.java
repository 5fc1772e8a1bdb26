package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Checks the fields of a head that state where its body ends (RFC 9112, section 6). */
final class Framing {
  private Framing() {}

  /**
   * Checks that a message has no transfer coding, or that chunks are its only one. The decoder
   * decodes nothing else, and would take the coded bytes for the body.
   */
  static void check(HttpMessage head) throws MalformedMessageException {
    HttpHeaders headers = head.headers();
    if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return;
    }
    if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      throw new MalformedMessageException("HTTP/1.0 has no transfer codings");
    }
    if (!isChunkedOnly(headers.getAll(HttpHeaderNames.TRANSFER_ENCODING))) {
      throw new MalformedMessageException("the body has a transfer coding other than chunks");
    }
  }

  /** Returns whether the lists contain one coding, chunks; empty elements don't count. */
  private static boolean isChunkedOnly(List<String> values) {
    int codings = 0;
    for (String value : values) {
      for (String element : value.split(",", -1)) {
        if (HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(element.strip())) {
          codings++;
        } else if (!element.isBlank()) {
          return false;
        }
      }
    }
    return codings == 1;
  }
}
