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
   * Returns whether the body of a message consists of chunks.
   *
   * @throws MalformedMessageException if it has another transfer coding, which the decoder would
   *     take for the body, or a length beside its coding: such a message may end at different bytes
   *     for different recipients, which allows request smuggling (section 6.3)
   */
  static boolean isChunked(HttpMessage head) throws MalformedMessageException {
    HttpHeaders headers = head.headers();
    if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return false;
    }
    if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      throw new MalformedMessageException("HTTP/1.0 has no transfer codings");
    }
    if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      throw new MalformedMessageException("the body has both a length and a transfer coding");
    }
    if (!isChunkedOnly(headers.getAll(HttpHeaderNames.TRANSFER_ENCODING))) {
      throw new MalformedMessageException("the body has a transfer coding other than chunks");
    }
    return true;
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
