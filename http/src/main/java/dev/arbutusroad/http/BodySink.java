package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;

/** Takes the parts of a body in order; the last call is {@link #completed} or {@link #failed}. */
public interface BodySink {
  /** Takes a part and its reference. */
  void part(ByteBuf part);

  /** No more parts are there at present; what was taken should be flushed. */
  void flush();

  /** The body is complete. */
  void completed();

  /** The body broke off. */
  void failed(Throwable cause);
}
