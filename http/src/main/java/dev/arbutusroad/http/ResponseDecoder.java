package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.BooleanSupplier;

/**
 * Decodes answers. Those to HEAD requests have no body, whatever length they state; one that states
 * both a length and a transfer encoding is malformed, as its end is in doubt.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private final BooleanSupplier bodyless;

  /**
   * Creates a decoder.
   *
   * @param bodyless whether the request in progress takes no body in its answer
   */
  ResponseDecoder(BooleanSupplier bodyless) {
    super(HttpLimits.decoding(new HttpDecoderConfig()));
    this.bodyless = bodyless;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage answer) {
    return super.isContentAlwaysEmpty(answer) || bodyless.getAsBoolean();
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("an answer has a length and a transfer encoding");
  }
}
