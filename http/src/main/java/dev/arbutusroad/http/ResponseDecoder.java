package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.BooleanSupplier;

/**
 * Decodes answers. An answer to a HEAD request has no body, whatever its Content-Length. An answer
 * with both a Content-Length and a Transfer-Encoding is malformed, as its end is ambiguous.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private final BooleanSupplier bodyless;

  /**
   * Creates a decoder.
   *
   * @param bodyless whether the answer to the request in progress has no body
   */
  ResponseDecoder(BooleanSupplier bodyless) {
    super(HttpLimits.applyTo(new HttpDecoderConfig()));
    this.bodyless = bodyless;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage answer) {
    return super.isContentAlwaysEmpty(answer) || bodyless.getAsBoolean();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("answer has both Content-Length and Transfer-Encoding");
  }
}
