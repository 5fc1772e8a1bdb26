package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Encodes answers; those to HEAD requests have no body, whatever length they state. */
final class ResponseEncoder extends HttpResponseEncoder {
  private final BooleanSupplier bodyless;

  /**
   * Creates an encoder.
   *
   * @param bodyless whether the request in progress takes no body in its answer
   */
  ResponseEncoder(BooleanSupplier bodyless) {
    this.bodyless = bodyless;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse answer) {
    return super.isContentAlwaysEmpty(answer) || bodyless.getAsBoolean();
  }
}
