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

/** A connection of a caller: serves its requests one after the other. */
final class ServerConnection extends ChannelInboundHandlerAdapter {
  /** How long a caller may go on sending a request that has been answered with a close. */
  private static final long LINGER_MILLIS = 2_000;

  /**
   * Heads and parts of requests that may wait behind the one in progress. Reading goes on until
   * then, as not every transport tells of a caller that goes while nothing is read.
   */
  private static final int MAX_WAITING_MESSAGES = 8;

  private final SocketChannel channel;
  private final ExchangeHandler handler;
  private final Consumer<ServerConnection> whenClosed;
  private final Deque<Waiting> pipelined = new ArrayDeque<>(0);
  private ServerExchange current;
  private boolean draining;
  private boolean lingering;

  ServerConnection(
      SocketChannel channel, ExchangeHandler handler, Consumer<ServerConnection> whenClosed) {
    this.channel = channel;
    this.handler = handler;
    this.whenClosed = whenClosed;
  }

  Channel channel() {
    return channel;
  }

  /** Closes the connection when the request in progress is answered; at once if there is none. */
  void drain() {
    draining = true;
    if (current == null) {
      ChannelCalls.close(channel);
    }
  }

  /** Whether the answer to the request in progress has no body. */
  boolean isAnswerBodyless() {
    return current != null && current.isBodyless();
  }

  boolean isDraining() {
    return draining;
  }

  void close() {
    ChannelCalls.close(channel);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (lingering) {
      ReferenceCountUtil.release(message);
    } else if (current != null && (current.isReceived() || !pipelined.isEmpty())) {
      // The next request of a caller that does not wait for answers.
      pipelined.add(new Waiting(message, Ticker.system().nanos()));
      pace();
    } else {
      take(message, 0);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (current != null) {
      current.flushRequest();
    }
  }

  /** A part of a request that came while an earlier one was served. */
  private record Waiting(Object message, long sinceNanos) {
    long nanos() {
      return Ticker.system().nanos() - sinceNanos;
    }
  }

  private void take(Object message, long waitedNanos) {
    if (message instanceof HttpRequest request) {
      if (request.decoderResult().isFailure()) {
        ReferenceCountUtil.release(message);
        refuseMalformed(request);
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

  private void refuseMalformed(HttpRequest request) {
    current = new ServerExchange(this, request, 0);
    Throwable cause = request.decoderResult().cause();
    HttpResponseStatus status =
        cause instanceof TooLongHttpHeaderException
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    current.answerMalformed(Answer.of(status, Unpooled.EMPTY_BUFFER));
  }

  /** The exchange in progress has been answered and its request was read to the end. */
  void finished(boolean keepOpen) {
    current = null;
    if (!keepOpen || draining) {
      ChannelCalls.close(channel);
      return;
    }
    while (!pipelined.isEmpty() && (current == null || !current.isReceived())) {
      Waiting next = pipelined.poll();
      take(next.message(), next.nanos());
    }
    pace();
  }

  /** Reads on unless the request in progress, or those that wait, hold enough. */
  void pace() {
    boolean paused = current != null && current.isPaused();
    channel.config().setAutoRead(!paused && pipelined.size() < MAX_WAITING_MESSAGES);
  }

  /** Ends the sending side and drops what the caller still sends, so that it reads the answer. */
  void linger() {
    lingering = true;
    channel.config().setAutoRead(true);
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
    pipelined.forEach(waiting -> ReferenceCountUtil.release(waiting.message()));
    pipelined.clear();
    if (current != null) {
      ServerExchange abandoned = current;
      current = null;
      abandoned.abandon(new IOException("the caller closed the connection"));
    }
    whenClosed.accept(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    ChannelCalls.close(channel);
  }
}
