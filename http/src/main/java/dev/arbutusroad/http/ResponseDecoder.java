package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/**
 * Decodes answers and rejects malformed ones. An answer to a HEAD request has no body, whatever its
 * Content-Length.
 *
 * <p>Bytes that arrive while no answer is awaited are dropped and reported. Kept in the decoder,
 * they would become the start of the answer to the next request.
 *
 * <p>An answer without a length ends with the input of its connection. It is complete only if the
 * server has closed its sending side; a channel that becomes inactive without that was reset. The
 * channel must allow half-closure, so that the two can be distinguished.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  /** The connection whose answers are decoded. */
  interface Connection {
    /** Returns whether a request is in progress whose answer is not complete. */
    boolean isAnswerAwaited();

    /** Returns whether the answer to the request in progress has no body. */
    boolean isAnswerBodyless();

    /** Called when bytes have arrived that belong to no answer. */
    void surplusReceived();

    /** Called when the server has closed its output, before an answer that this completes ends. */
    void inputEnded();

    /** Called when the channel was closed in another way, as by a reset or a failed write. */
    void inputAborted();
  }

  private final Connection connection;
  private final MessageSyntax syntax;
  private boolean inputEnded;

  ResponseDecoder(Connection connection) {
    super(HttpLimits.applyTo(new HttpDecoderConfig()));
    this.connection = connection;
    this.syntax =
        new MessageSyntax(new StatusLine(), ResponseDecoder::checkHead, this::createInvalidMessage);
  }

  /**
   * Checks that an answer does not switch to another protocol: no request asks for that, and the
   * decoder would pass on all further bytes as they are.
   */
  private static void checkHead(HttpMessage head) throws MalformedMessageException {
    if (((HttpResponse) head).status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      throw new MalformedMessageException("the server switches to another protocol");
    }
  }

  /** A call decodes at most to the end of a message, so the bytes after it come in another call. */
  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (connection.isAnswerAwaited()) {
      syntax.decode(buffer, out, () -> super.decode(context, buffer, out));
    } else if (buffer.isReadable()) {
      buffer.skipBytes(buffer.readableBytes());
      connection.surplusReceived();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent && !inputEnded) {
      inputEnded = true;
      connection.inputEnded();
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    if (!inputEnded) {
      connection.inputAborted();
    }
    super.channelInactive(context);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage answer) {
    return super.isContentAlwaysEmpty(answer) || connection.isAnswerBodyless();
  }

  /** Keeps both fields, so that {@link Framing} sees and rejects them. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
