package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests and rejects malformed ones. A request with both a Content-Length and a
 * Transfer-Encoding may end at different bytes for different recipients, which allows request
 * smuggling (RFC 9112, section 6.3).
 */
final class RequestDecoder extends HttpRequestDecoder {
  private final MessageSyntax syntax;

  RequestDecoder() {
    super(HttpLimits.applyTo(new HttpDecoderConfig()));
    syntax =
        new MessageSyntax(new RequestLine(), RequestDecoder::checkHead, this::createInvalidMessage);
  }

  private static void checkHead(HttpMessage head) throws MalformedMessageException {
    HostField.check(head.headers());
    Framing.check(head);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    syntax.decode(buffer, out, () -> super.decode(context, buffer, out));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
  }
}
