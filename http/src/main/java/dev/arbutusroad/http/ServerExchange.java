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

/** The exchange of one request on a caller's connection. */
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
  private boolean requestReceived;
  private boolean discardingRequest;
  private boolean requestPaused;
  private boolean ended;
  private boolean answerWritten;
  private boolean closeAfterAnswer;
  private boolean endsWithConnection;
  private Answer answer;
  private MessageWriter writer;

  /**
   * Creates the exchange of a request whose head has been read.
   *
   * @param waitedNanos how long the request has waited for earlier ones on its connection
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

  /** Adds a part of the request's body, and takes over its reference. */
  void receive(ByteBuf part, boolean last) {
    requestReceived |= last;
    if (discardingRequest) {
      part.release();
    } else {
      body.add(part);
    }
    if (last) {
      body.complete();
      if (answerWritten) {
        connection.exchangeFinished(!closeAfterAnswer);
      }
    }
  }

  /** Flushes the body of the request, as no more of it is available for the moment. */
  void flushRequest() {
    body.flush();
  }

  /** Returns whether reading of the request is paused by back-pressure. */
  boolean isPaused() {
    return requestPaused && !requestReceived && !discardingRequest;
  }

  boolean isReceived() {
    return requestReceived;
  }

  /** Returns whether the answer to this request has no body, whatever its Content-Length. */
  boolean isBodyless() {
    return request.method().equals(HttpMethod.HEAD);
  }

  /** Returns whether the caller has stated that this is its last request on the connection. */
  boolean isLastOfConnection() {
    return !keepAlive;
  }

  @Override
  public void answer(Answer newAnswer) {
    if (ended || answer != null) {
      newAnswer.body().cancel();
      return;
    }
    answer = newAnswer;
    setFramingHeaders(newAnswer.head());
    writer = new MessageWriter(channel, newAnswer.head());
    newAnswer.body().consume(this);
    newAnswer.body().setReady(channel.isWritable());
  }

  /**
   * Answers a malformed request and closes the connection, which cannot be parsed further. The end
   * of the request is unknown, so it counts as not received.
   */
  void rejectMalformed(Answer newAnswer) {
    closeAfterAnswer = true;
    answer(newAnswer);
  }

  private void setFramingHeaders(HttpResponse head) {
    HttpHeaders headers = head.headers();
    boolean closeRequested =
        HttpHeaderValues.CLOSE.contentEqualsIgnoreCase(connectionHeader(headers));
    boolean hasKnownLength =
        headers.contains(HttpHeaderNames.CONTENT_LENGTH) || isBodylessAnswer(head.status());
    endsWithConnection = !hasKnownLength && http10;
    if (!hasKnownLength && !http10) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    closeAfterAnswer |=
        closeRequested || !keepAlive || connection.isDraining() || endsWithConnection;
    head.setProtocolVersion(HttpVersion.HTTP_1_1);
    if (closeAfterAnswer) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (http10) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  private static CharSequence connectionHeader(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.CONNECTION);
    return value == null ? "" : value;
  }

  private boolean isBodylessAnswer(HttpResponseStatus status) {
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
   * Closes the connection. The head may have been sent, so this is the only way to tell the caller
   * that the answer is incomplete. An answer that ends with its connection is reset.
   */
  @Override
  public void failed(Throwable cause) {
    writer.discard();
    if (endsWithConnection) {
      connection.reset();
    } else {
      connection.close();
    }
  }

  /** Ends the exchange after the last byte of the answer, or closes the channel on failure. */
  @Override
  public void operationComplete(ChannelFuture future) {
    if (!future.isSuccess()) {
      ChannelCalls.close(channel);
      return;
    }
    if (ended) {
      return;
    }
    answerWritten = true;
    end(true);
    if (requestReceived) {
      connection.exchangeFinished(!closeAfterAnswer);
    } else {
      discardingRequest = true;
      body.cancel();
      if (closeAfterAnswer) {
        connection.linger();
      }
    }
  }

  /** Ends the exchange because the connection was closed. */
  void connectionClosed(Throwable cause) {
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
      listener.exchangeEnded(answerWritten);
    } else {
      listeners.add(listener);
    }
  }

  @Override
  public void setReading(boolean reading) {
    requestPaused = !reading;
    connection.updateAutoRead();
  }

  /** Reads and drops the rest of the request, which its consumer does not need. */
  @Override
  public void cancel() {
    discardingRequest = true;
    connection.updateAutoRead();
  }
}
