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
  private final Consumer<Optional<String>> then;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private boolean tooLong;

  private LimitedBodyReader(int maxBytes, Consumer<Optional<String>> then) {
    this.maxBytes = maxBytes;
    this.then = then;
  }

  /**
   * Reads the body as UTF-8.
   *
   * @param then takes the text, or empty if it is too long; not called if the caller goes
   */
  static void read(Exchange exchange, int maxBytes, Consumer<Optional<String>> then) {
    exchange.body().consume(new LimitedBodyReader(maxBytes, then));
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
    then.accept(tooLong ? Optional.empty() : Optional.of(bytes.toString(StandardCharsets.UTF_8)));
  }

  /** The exchange has ended with its caller; there is nobody to answer. */
  @Override
  public void failed(Throwable cause) {}
}
