package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/** Decodes requests and rejects malformed ones. */
final class RequestDecoder extends HttpRequestDecoder {
  private final MessageSyntax syntax;

  RequestDecoder() {
    super(HttpLimits.applyTo(new HttpDecoderConfig()));
    syntax = new MessageSyntax(new RequestLine(), HostField::check, this::createInvalidMessage);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    syntax.decode(buffer, out, () -> super.decode(context, buffer, out));
    if (syntax.droppedBytes() > HttpLimits.MAX_DROPPED_BYTES) {
      ChannelCalls.close(context.channel());
    }
  }

  /** Keeps both fields, so that {@link Framing} sees and rejects them. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
