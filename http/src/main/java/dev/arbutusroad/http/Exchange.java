package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.OptionalLong;

/** A received request and the means to answer it. Must be used on one event loop only. */
public interface Exchange {
  /** Returns the head of the request. */
  HttpRequest request();

  /** Returns the length of the body in bytes, 0 without a body; empty if the body is chunked. */
  OptionalLong bodyLength();

  /**
   * Returns how long the request has waited for earlier ones on its connection (head-of-line
   * blocking), in nanoseconds.
   */
  long waitedNanos();

  /** Returns the body of the request; sends 100 Continue first if the caller waits for it. */
  Body body();

  /** Sends the answer; ignored after the first answer and after the exchange has ended. */
  void answer(Answer answer);

  /** Returns whether the answer has been written or the caller has disconnected. */
  boolean isEnded();

  /** Adds a listener that is told once how the exchange ended; at once if it has ended. */
  void whenEnded(ExchangeListener listener);
}
