package dev.arbutusroad.http;

import dev.arbutusroad.core.time.Ticker;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A connection of a caller. Requests are served one at a time, also with pipelining. */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  /** Limit for a lingering close: how long a caller may go on sending after the answer. */
  private static final long LINGER_MILLIS = 2_000;

  /**
   * Maximum of pipelined heads and body parts that wait behind the request in progress. They are
   * read because some transports report a disconnect only while the channel is being read.
   */
  private static final int MAX_PIPELINED_MESSAGES = 8;

  private final SocketChannel channel;
  private final ReadThrottle throttle;
  private final ExchangeHandler handler;
  private final MalformedRequestListener malformedRequestListener;
  private final Consumer<ServerConnection> closeListener;
  private final Deque<PipelinedMessage> pipelined = new ArrayDeque<>(0);
  private ServerExchange current;
  private boolean draining;
  private boolean lingering;

  ServerConnection(
      SocketChannel channel,
      ReadThrottle throttle,
      ExchangeHandler handler,
      MalformedRequestListener malformedRequestListener,
      Consumer<ServerConnection> closeListener) {
    this.channel = channel;
    this.throttle = throttle;
    this.handler = handler;
    this.malformedRequestListener = malformedRequestListener;
    this.closeListener = closeListener;
  }

  Channel channel() {
    return channel;
  }

  /** Closes the connection after the request in progress; at once if there is none. */
  void drain() {
    draining = true;
    if (current == null) {
      ChannelCalls.close(channel);
    }
  }

  /** Returns whether the answer to the request in progress has no body. */
  boolean isAnswerBodyless() {
    return current != null && current.isBodyless();
  }

  boolean isDraining() {
    return draining;
  }

  void close() {
    ChannelCalls.close(channel);
  }

  /** Closes the connection so that the caller sees a reset instead of the end of the input. */
  void reset() {
    channel.config().setSoLinger(0);
    ChannelCalls.close(channel);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (lingering) {
      ReferenceCountUtil.release(message);
    } else if (current != null && (current.isReceived() || !pipelined.isEmpty())) {
      // The caller pipelines requests: this message belongs to a later one.
      pipelined.add(new PipelinedMessage(message, Ticker.system().nanos()));
      updateAutoRead();
    } else {
      process(message, 0);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (current != null) {
      current.flushRequest();
    }
  }

  /** A request head or a body part that arrived while an earlier request was in progress. */
  private record PipelinedMessage(Object message, long arrivalNanos) {
    long waitedNanos() {
      return Ticker.system().nanos() - arrivalNanos;
    }
  }

  private void process(Object message, long waitedNanos) {
    if (message instanceof HttpRequest request) {
      if (request.decoderResult().isFailure()) {
        ReferenceCountUtil.release(message);
        rejectMalformedRequest(request);
        return;
      }
      current = new ServerExchange(this, request, waitedNanos);
      handler.handle(current);
    }
    if (message instanceof HttpContent part) {
      if (current == null || part.decoderResult().isFailure()) {
        part.release();
        ChannelCalls.close(channel);
        return;
      }
      current.receive(part.content(), part instanceof LastHttpContent);
    }
  }

  private void rejectMalformedRequest(HttpRequest request) {
    current = new ServerExchange(this, request, 0);
    Throwable cause = request.decoderResult().cause();
    HttpResponseStatus status =
        cause instanceof TooLongHttpHeaderException
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    malformedRequestListener.requestRefused(
        channel.remoteAddress(), MalformedMessageException.of(cause).getMessage());
    current.rejectMalformed(Answer.of(status, Unpooled.EMPTY_BUFFER));
  }

  /** Continues after an exchange whose request was read and whose answer was written. */
  void exchangeFinished(boolean keepOpen) {
    current = null;
    if (!keepOpen || draining) {
      ChannelCalls.close(channel);
      return;
    }
    while (!pipelined.isEmpty() && (current == null || !current.isReceived())) {
      PipelinedMessage next = pipelined.poll();
      process(next.message(), next.waitedNanos());
    }
    updateAutoRead();
  }

  /** Pauses reading if the request in progress is paused or enough pipelined messages wait. */
  void updateAutoRead() {
    boolean paused = current != null && current.isPaused();
    throttle.setReading(!paused && pipelined.size() < MAX_PIPELINED_MESSAGES);
  }

  /**
   * Starts a lingering close: shuts down the output and drops further input until the caller closes
   * or the limit passes. An immediate close could reset the connection before the caller has read
   * the answer.
   */
  void linger() {
    lingering = true;
    throttle.setReading(true);
    ChannelCalls.shutdownOutput(channel);
    var unused =
        channel
            .eventLoop()
            .schedule(() -> ChannelCalls.close(channel), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      boolean answerAwaited =
          current != null && current.isReceived() && current.isLastOfConnection();
      if (!answerAwaited) {
        ChannelCalls.close(channel);
      }
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null) {
      current.setWritable(channel.isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pipelined.forEach(next -> ReferenceCountUtil.release(next.message()));
    pipelined.clear();
    if (current != null) {
      ServerExchange exchange = current;
      current = null;
      exchange.connectionClosed(new IOException("the caller closed the connection"));
    }
    closeListener.accept(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    ChannelCalls.close(channel);
  }
}
