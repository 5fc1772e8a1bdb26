package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects ambiguous framing. A request with both a Content-Length and a
 * Transfer-Encoding may end at different bytes for different recipients, which allows request
 * smuggling (RFC 9112, section 6.3).
 */
final class RequestDecoder extends HttpRequestDecoder {
  RequestDecoder() {
    super(HttpLimits.applyTo(new HttpDecoderConfig()));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
  }
}
