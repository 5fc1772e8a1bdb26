package dev.arbutusroad.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/** A connection to another process that carries one request at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements BodySource {
  private final SocketChannel channel;
  private final ConnectionPool pool;
  private Attempt current;
  private boolean interim;
  private boolean reusable = true;
  private boolean answerReceived;
  private long idleSinceNanos;
  private long idleLimitNanos;

  ClientConnection(SocketChannel channel, ConnectionPool pool) {
    this.channel = channel;
    this.pool = pool;
    this.idleLimitNanos = ConnectionPool.IDLE_NANOS;
  }

  void send(Attempt attempt) {
    current = attempt;
    answerReceived = false;
    reusable &= attempt.isReusable();
    attempt.start(this);
  }

  /** A writer for the request. */
  MessageWriter writer(HttpRequest head) {
    return new MessageWriter(channel, head);
  }

  /** Ends the request. */
  void end(MessageWriter writer) {
    var unused = writer.end();
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /** Whether the answer to the request in progress has no body. */
  boolean isAnswerBodyless() {
    return current != null && current.isAnswerBodyless();
  }

  /** Whether another request may be sent now. */
  boolean isUsable(long nowNanos) {
    return channel.isActive() && nowNanos - idleSinceNanos < idleLimitNanos;
  }

  void idleSince(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  void close() {
    reusable = false;
    ChannelCalls.close(channel);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (current == null || current.isClosed()) {
      // Bytes that belong to no request: nothing on this connection can be trusted any more.
      ReferenceCountUtil.release(message);
      close();
      return;
    }
    if (message instanceof HttpResponse head && !takeHead(head)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpContent part) {
      takePart(part);
    }
  }

  private boolean takeHead(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      fail(new IOException("the answer is malformed", head.decoderResult().cause()));
      return false;
    }
    interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interim) {
      return true;
    }
    reusable &= HttpUtil.isKeepAlive(head);
    idleLimitNanos = KeepAlive.idleNanos(head.headers(), ConnectionPool.IDLE_NANOS);
    current.answered(new Answer(head, new Body(this)));
    return true;
  }

  private void takePart(HttpContent part) {
    if (part.decoderResult().isFailure()) {
      part.release();
      fail(new IOException("the answer is malformed", part.decoderResult().cause()));
      return;
    }
    boolean last = part instanceof LastHttpContent;
    if (interim || current.isClosed()) {
      part.release();
      return;
    }
    current.receive(part.content());
    if (last) {
      answerReceived = true;
      reusable &= current.isRequestWritten();
      current.received();
      if (!reusable) {
        close();
      }
    }
  }

  private void fail(IOException cause) {
    Attempt failed = current;
    current = null;
    close();
    failed.broken(cause);
  }

  /** Returns to the pool only here: surplus bytes read with an answer must not meet a request. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (current != null) {
      current.flushAnswer();
    }
    if (answerReceived && reusable && channel.isActive()) {
      answerReceived = false;
      current = null;
      channel.config().setAutoRead(true);
      pool.idle(this);
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
    pool.closed(this);
    breakCurrent(new IOException("the connection was closed"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    breakCurrent(cause);
    close();
  }

  private void breakCurrent(Throwable cause) {
    if (current != null) {
      Attempt broken = current;
      current = null;
      broken.broken(cause);
    }
  }

  @Override
  public void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  @Override
  public void retireConnection() {
    reusable = false;
  }

  /** The rest of the answer can't be skipped cheaply, so the connection ends with it. */
  @Override
  public void cancel() {
    close();
  }
}
