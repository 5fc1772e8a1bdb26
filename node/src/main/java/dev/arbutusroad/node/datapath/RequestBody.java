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
 * The body of a request: held whole if it is small, so that it can be sent again, else streamed
 * once.
 */
final class RequestBody {
  /** Bodies up to this size are held for another attempt. */
  static final long MAX_HELD_BYTES = 64 * 1_024;

  private static final byte[] NONE = {};

  private final Optional<byte[]> held;
  private final Optional<Body> stream;
  private final boolean stated;

  private RequestBody(Optional<byte[]> held, Optional<Body> stream, boolean stated) {
    this.held = held;
    this.stream = stream;
    this.stated = stated;
  }

  /**
   * Reads a small body whole; leaves any other one in the stream.
   *
   * @param then takes the body; not called if the caller goes before a small body is there
   */
  static void read(Exchange exchange, Consumer<RequestBody> then) {
    OptionalLong length = exchange.bodyLength();
    if (length.isEmpty() || length.getAsLong() > MAX_HELD_BYTES) {
      then.accept(new RequestBody(Optional.empty(), Optional.of(exchange.body()), true));
    } else if (length.getAsLong() == 0) {
      exchange.body().discard();
      boolean stated = exchange.request().headers().contains("content-length");
      then.accept(new RequestBody(Optional.of(NONE), Optional.empty(), stated));
    } else {
      exchange.body().consume(new Collector((int) length.getAsLong(), then));
    }
  }

  /** Whether the body can be sent now: always if it is held, until it was begun if not. */
  boolean isAvailable() {
    return stream.filter(Body::isConsumed).isEmpty();
  }

  /** The body for one attempt. */
  Body forAttempt() {
    return stream.orElseGet(() -> Body.of(Unpooled.wrappedBuffer(held.orElseThrow())));
  }

  /** The length to state with the body; empty if it has none to state or is streamed. */
  OptionalLong heldLength() {
    return held.isPresent() && stated
        ? OptionalLong.of(held.orElseThrow().length)
        : OptionalLong.empty();
  }

  /** Whether the body is passed on while it arrives. */
  boolean isStreamed() {
    return stream.isPresent();
  }

  /** Up to {@code limit} bytes from the start of the body; none if it is not held. */
  byte[] start(int limit) {
    byte[] body = held.orElse(NONE);
    return body.length <= limit ? body : Arrays.copyOf(body, limit);
  }

  private static final class Collector implements BodySink {
    private final byte[] bytes;
    private final Consumer<RequestBody> then;
    private int count;

    Collector(int length, Consumer<RequestBody> then) {
      bytes = new byte[length];
      this.then = then;
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
      then.accept(new RequestBody(Optional.of(bytes), Optional.empty(), true));
    }

    /** The exchange has ended with its caller; there is nobody to answer. */
    @Override
    public void failed(Throwable cause) {}
  }
}
