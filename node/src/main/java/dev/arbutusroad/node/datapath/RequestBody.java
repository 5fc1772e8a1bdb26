package dev.arbutusroad.node.datapath;

import dev.arbutusroad.http.Body;
import dev.arbutusroad.http.BodySink;
import dev.arbutusroad.http.Exchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The body of a request: buffered if it is small, so that it can be sent again, else streamed once.
 */
final class RequestBody {
  /** Bodies up to this size are buffered for further attempts. */
  static final long MAX_BUFFERED_BYTES = 64 * 1_024;

  private static final byte[] EMPTY = {};

  private final Optional<byte[]> buffered;
  private final Optional<Body> stream;
  private final boolean hasContentLength;

  private RequestBody(Optional<byte[]> buffered, Optional<Body> stream, boolean hasContentLength) {
    this.buffered = buffered;
    this.stream = stream;
    this.hasContentLength = hasContentLength;
  }

  /**
   * Buffers a small body; leaves a larger one, or one of unknown length, in the stream.
   *
   * @param callback receives the body; not called if the caller disconnects before a small body is
   *     complete
   */
  static void read(Exchange exchange, Consumer<RequestBody> callback) {
    OptionalLong length = exchange.bodyLength();
    if (length.isEmpty() || length.getAsLong() > MAX_BUFFERED_BYTES) {
      callback.accept(new RequestBody(Optional.empty(), Optional.of(exchange.body()), true));
    } else if (length.getAsLong() == 0) {
      exchange.body().discard();
      boolean hasContentLength = exchange.request().headers().contains("content-length");
      callback.accept(new RequestBody(Optional.of(EMPTY), Optional.empty(), hasContentLength));
    } else {
      exchange.body().consume(new Collector((int) length.getAsLong(), callback));
    }
  }

  /** Returns whether the body can be sent: always if buffered, else until it is first consumed. */
  boolean isAvailable() {
    return stream.filter(Body::isConsumed).isEmpty();
  }

  /** Returns the body for one attempt. */
  Body forAttempt() {
    return stream.orElseGet(() -> Body.of(Unpooled.wrappedBuffer(buffered.orElseThrow())));
  }

  /** Returns the content length to send; empty if the request had none or the body is streamed. */
  OptionalLong bufferedLength() {
    return buffered.isPresent() && hasContentLength
        ? OptionalLong.of(buffered.orElseThrow().length)
        : OptionalLong.empty();
  }

  /** Returns whether the body is forwarded while it arrives. */
  boolean isStreamed() {
    return stream.isPresent();
  }

  /** Returns up to {@code limit} bytes from the start of the body; none if it is streamed. */
  byte[] prefix(int limit) {
    byte[] body = buffered.orElse(EMPTY);
    return body.length <= limit ? body : Arrays.copyOf(body, limit);
  }

  private static final class Collector implements BodySink {
    private final byte[] bytes;
    private final Consumer<RequestBody> callback;
    private int count;

    Collector(int length, Consumer<RequestBody> callback) {
      bytes = new byte[length];
      this.callback = callback;
    }

    @Override
    public void part(ByteBuf part) {
      int length = part.readableBytes();
      part.readBytes(bytes, count, length);
      count += length;
      part.release();
    }

    @Override
    public void flush() {}

    @Override
    public void completed() {
      callback.accept(new RequestBody(Optional.of(bytes), Optional.empty(), true));
    }

    /** Does nothing: the caller has disconnected, so nobody waits for an answer. */
    @Override
    public void failed(Throwable cause) {}
  }
}
