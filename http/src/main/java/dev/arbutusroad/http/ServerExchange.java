package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** A request on a caller's connection. */
final class ServerExchange implements Exchange, BodySource, BodySink, ChannelFutureListener {
  private final ServerConnection connection;
  private final Channel channel;
  private final HttpRequest request;
  private final long waitedNanos;
  private final OptionalLong bodyLength;
  private final Body body;
  private final boolean keepAlive;
  private final boolean http10;
  private final List<ExchangeListener> listeners = new ArrayList<>(4);
  private boolean continueExpected;
  private boolean received;
  private boolean discarding;
  private boolean paused;
  private boolean ended;
  private boolean written;
  private boolean closeAfter;
  private Answer answer;
  private MessageWriter writer;

  /**
   * Creates the exchange of a request whose head has been read.
   *
   * @param waitedNanos how long the request has waited behind earlier ones of its connection
   */
  ServerExchange(ServerConnection connection, HttpRequest request, long waitedNanos) {
    this.waitedNanos = waitedNanos;
    this.connection = connection;
    this.channel = connection.channel();
    this.request = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    http10 = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    bodyLength =
        HttpUtil.isTransferEncodingChunked(request)
            ? OptionalLong.empty()
            : OptionalLong.of(HttpUtil.getContentLength(request, 0L));
    continueExpected = HttpUtil.is100ContinueExpected(request);
    request.headers().remove(HttpHeaderNames.EXPECT);
    body = new Body(this);
  }

  @Override
  public HttpRequest request() {
    return request;
  }

  @Override
  public OptionalLong bodyLength() {
    return bodyLength;
  }

  @Override
  public long waitedNanos() {
    return waitedNanos;
  }

  @Override
  public Body body() {
    if (continueExpected) {
      continueExpected = false;
      ChannelCalls.writeAndFlush(
          channel,
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    return body;
  }

  /** Takes a part of the request's body. */
  void receive(ByteBuf part, boolean last) {
    received |= last;
    if (discarding) {
      part.release();
    } else {
      body.add(part);
    }
    if (last) {
      body.complete();
      if (written) {
        connection.finished(!closeAfter);
      }
    }
  }

  /** No more of the request is there at present. */
  void flushRequest() {
    body.flush();
  }

  /** Whether more of the request must not be read at present. */
  boolean isPaused() {
    return paused && !received && !discarding;
  }

  boolean isReceived() {
    return received;
  }

  /** Whether an answer to this request has no body, whatever its head says. */
  boolean isBodyless() {
    return request.method().equals(HttpMethod.HEAD);
  }

  /** Whether the caller has said that it sends no other request on this connection. */
  boolean isLastOfConnection() {
    return !keepAlive;
  }

  @Override
  public void answer(Answer given) {
    if (ended || answer != null) {
      given.body().cancel();
      return;
    }
    answer = given;
    frame(given.head());
    writer = new MessageWriter(channel, given.head());
    given.body().consume(this);
    given.body().setReady(channel.isWritable());
  }

  /** Answers a request that can't be read, after which nothing on the connection can be. */
  void answerMalformed(Answer given) {
    received = true;
    closeAfter = true;
    answer(given);
  }

  private void frame(HttpResponse head) {
    HttpHeaders headers = head.headers();
    boolean closing = HttpHeaderValues.CLOSE.contentEqualsIgnoreCase(connectionOf(headers));
    boolean sized =
        headers.contains(HttpHeaderNames.CONTENT_LENGTH) || isWithoutBody(head.status());
    if (!sized && !http10) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    closeAfter |= closing || !keepAlive || connection.isDraining() || (!sized && http10);
    head.setProtocolVersion(HttpVersion.HTTP_1_1);
    if (closeAfter) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (http10) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  private static CharSequence connectionOf(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.CONNECTION);
    return value == null ? "" : value;
  }

  private boolean isWithoutBody(HttpResponseStatus status) {
    return request.method().equals(HttpMethod.HEAD)
        || status.equals(HttpResponseStatus.NO_CONTENT)
        || status.equals(HttpResponseStatus.NOT_MODIFIED);
  }

  void setWritable(boolean writable) {
    if (answer != null) {
      answer.body().setReady(writable);
    }
  }

  @Override
  public void part(ByteBuf part) {
    writer.part(part);
  }

  @Override
  public void flush() {
    writer.flush();
  }

  @Override
  public void completed() {
    var unused = writer.end().addListener(this);
  }

  /**
   * The head may be out already, so only a broken connection tells that the answer is not whole.
   */
  @Override
  public void failed(Throwable cause) {
    writer.discard();
    ChannelCalls.close(channel);
  }

  /** The last byte of the answer was written, or could not be. */
  @Override
  public void operationComplete(ChannelFuture end) {
    if (!end.isSuccess()) {
      ChannelCalls.close(channel);
      return;
    }
    if (ended) {
      return;
    }
    written = true;
    end(true);
    if (received) {
      connection.finished(!closeAfter);
    } else {
      discarding = true;
      body.cancel();
      if (closeAfter) {
        connection.linger();
      }
    }
  }

  /** The connection is gone. */
  void abandon(Throwable cause) {
    body.fail(cause);
    if (answer != null) {
      answer.body().cancel();
      writer.discard();
    }
    end(false);
  }

  private void end(boolean complete) {
    if (!ended) {
      ended = true;
      for (ExchangeListener listener : listeners) {
        listener.exchangeEnded(complete);
      }
      listeners.clear();
    }
  }

  @Override
  public boolean isEnded() {
    return ended;
  }

  @Override
  public void whenEnded(ExchangeListener listener) {
    if (ended) {
      listener.exchangeEnded(written);
    } else {
      listeners.add(listener);
    }
  }

  @Override
  public void setReading(boolean reading) {
    paused = !reading;
    connection.pace();
  }

  /** Whoever reads the request does not want the rest; the rest is read and dropped. */
  @Override
  public void cancel() {
    discarding = true;
    connection.pace();
  }
}
