package dev.arbutusroad.node.datapath;

import dev.arbutusroad.http.BodySink;
import dev.arbutusroad.http.Exchange;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads the body of a control request, up to a limit. */
final class LimitedBodyReader implements BodySink {
  private final int maxBytes;
  private final Consumer<Optional<String>> callback;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private boolean tooLong;

  private LimitedBodyReader(int maxBytes, Consumer<Optional<String>> callback) {
    this.maxBytes = maxBytes;
    this.callback = callback;
  }

  /**
   * Reads the body as UTF-8.
   *
   * @param callback receives the text, or empty if it is too long; not called if the caller
   *     disconnects
   */
  static void read(Exchange exchange, int maxBytes, Consumer<Optional<String>> callback) {
    exchange.body().consume(new LimitedBodyReader(maxBytes, callback));
  }

  @Override
  public void part(ByteBuf part) {
    tooLong |= bytes.size() + part.readableBytes() > maxBytes;
    if (!tooLong) {
      bytes.writeBytes(ByteBufUtil.getBytes(part));
    }
    part.release();
  }

  @Override
  public void flush() {}

  @Override
  public void completed() {
    callback.accept(
        tooLong ? Optional.empty() : Optional.of(bytes.toString(StandardCharsets.UTF_8)));
  }

  /** Does nothing: the caller has disconnected, so nobody waits for an answer. */
  @Override
  public void failed(Throwable cause) {}
}
