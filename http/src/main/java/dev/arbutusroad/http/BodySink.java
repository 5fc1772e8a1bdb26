package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;

/**
 * Consumes the parts of a body in order. The last call is {@link #completed} or {@link #failed}.
 */
public interface BodySink {
  /** Consumes a part and takes over its reference. */
  void part(ByteBuf part);

  /** Flushes the parts consumed so far, as no more are available for the moment. */
  void flush();

  /** Called when the body is complete. */
  void completed();

  /** Called when the body has failed before its end. */
  void failed(Throwable cause);
}
