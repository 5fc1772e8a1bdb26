package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.OptionalLong;

/** One request that was received, and the way to answer it. Belongs to one event loop. */
public interface Exchange {
  /** The head of the request. */
  HttpRequest request();

  /** The length that the head states; empty if the body is chunked; 0 if there is none. */
  OptionalLong bodyLength();

  /** How long the request has waited behind earlier ones of its connection, in nanoseconds. */
  long waitedNanos();

  /** The body of the request; reading it tells a caller that waits for that to send it. */
  Body body();

  /** Sends the answer; ignored after the first answer and if the caller has gone. */
  void answer(Answer answer);

  /** Whether the caller has gone or the answer has ended. */
  boolean isEnded();

  /** Tells a listener once how the exchange ended. */
  void whenEnded(ExchangeListener listener);
}
