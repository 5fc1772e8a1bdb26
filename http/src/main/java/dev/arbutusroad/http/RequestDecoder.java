package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses those whose framing is in doubt: a request that states both a length
 * and a transfer encoding ends elsewhere for another reader (RFC 9112, section 6.3).
 */
final class RequestDecoder extends HttpRequestDecoder {
  RequestDecoder() {
    super(HttpLimits.decoding(new HttpDecoderConfig()));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("a request has a length and a transfer encoding");
  }
}
