package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Encodes answers; an answer to a HEAD request has no body, whatever its Content-Length. */
final class ResponseEncoder extends HttpResponseEncoder {
  private final BooleanSupplier bodyless;

  /**
   * Creates an encoder.
   *
   * @param bodyless whether the answer to the request in progress has no body
   */
  ResponseEncoder(BooleanSupplier bodyless) {
    this.bodyless = bodyless;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse answer) {
    return super.isContentAlwaysEmpty(answer) || bodyless.getAsBoolean();
  }
}
