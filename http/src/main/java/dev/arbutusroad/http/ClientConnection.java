package dev.arbutusroad.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/** An outgoing connection, which carries one request at a time (no pipelining). */
final class ClientConnection extends ChannelInboundHandlerAdapter
    implements BodySource, ResponseDecoder.Connection {
  private final SocketChannel channel;
  private final ConnectionPool pool;
  private final ReadThrottle throttle;
  private Attempt current;
  private boolean interimAnswer;
  private int interimAnswers;
  private boolean reusable = true;
  private boolean answerReceived;
  private long idleSinceNanos;
  private long maxIdleNanos;

  ClientConnection(SocketChannel channel, ConnectionPool pool, ReadThrottle throttle) {
    this.channel = channel;
    this.pool = pool;
    this.throttle = throttle;
    this.maxIdleNanos = ConnectionPool.MAX_IDLE_NANOS;
  }

  void send(Attempt attempt) {
    current = attempt;
    answerReceived = false;
    interimAnswers = 0;
    reusable &= attempt.isKeepAlive();
    attempt.start(this);
  }

  /** Returns a writer for the request with the given head. */
  MessageWriter requestWriter(HttpRequest head) {
    return new MessageWriter(channel, head);
  }

  /** Writes the end of the request. */
  void endRequest(MessageWriter writer) {
    var unused = writer.end();
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  @Override
  public boolean isAnswerAwaited() {
    return current != null && !current.isClosed();
  }

  @Override
  public boolean isAnswerBodyless() {
    return current != null && current.isAnswerBodyless();
  }

  /** Closes the connection, as the framing of its answers cannot be trusted any more. */
  @Override
  public void surplusReceived() {
    close();
  }

  @Override
  public void inputEnded() {
    reusable = false;
  }

  @Override
  public void inputAborted() {
    failCurrent(new IOException("the connection was reset"));
  }

  /** Closes the connection after the answer that its end may have completed. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      failCurrent(new IOException("the connection was closed"));
      close();
    }
  }

  /** Returns whether the connection is open and has not been idle for too long. */
  boolean isUsable(long nowNanos) {
    return channel.isActive() && nowNanos - idleSinceNanos < maxIdleNanos;
  }

  void markIdle(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  void close() {
    reusable = false;
    ChannelCalls.close(channel);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!isAnswerAwaited()) {
      ReferenceCountUtil.release(message);
      close();
      return;
    }
    if (message instanceof HttpResponse head && !receiveHead(head)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpContent part) {
      receivePart(part);
    }
  }

  private boolean receiveHead(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      fail(decodingFailure(head.decoderResult().cause()));
      return false;
    }
    if (MergedHeads.isMerged(head)) {
      fail(
          new MalformedMessageException(
              "the head of the answer contains the start of another answer"));
      return false;
    }
    interimAnswer = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interimAnswer) {
      interimAnswers++;
      if (interimAnswers > HttpLimits.MAX_INTERIM_ANSWERS) {
        fail(new MalformedMessageException("the server sends interim answers without end"));
        return false;
      }
      return true;
    }
    reusable &= HttpUtil.isKeepAlive(head);
    maxIdleNanos = KeepAlive.maxIdleNanos(head.headers(), ConnectionPool.MAX_IDLE_NANOS);
    current.answered(new Answer(head, new Body(this)));
    return true;
  }

  private void receivePart(HttpContent part) {
    if (part.decoderResult().isFailure()) {
      part.release();
      fail(decodingFailure(part.decoderResult().cause()));
      return;
    }
    boolean last = part instanceof LastHttpContent;
    if (interimAnswer || current.isClosed()) {
      part.release();
      return;
    }
    current.receive(part.content());
    if (last) {
      answerReceived = true;
      reusable &= current.isRequestWritten();
      current.completeAnswer();
      if (!reusable) {
        close();
      }
    }
  }

  /**
   * Returns the failure of an answer that could not be decoded: a malformed answer, unless the
   * server closed its output within the head.
   */
  private static IOException decodingFailure(Throwable cause) {
    return cause instanceof PrematureChannelClosureException
        ? new IOException("the connection was closed within the head of the answer", cause)
        : MalformedMessageException.of(cause);
  }

  private void fail(IOException cause) {
    Attempt failed = current;
    current = null;
    close();
    failed.fail(cause);
  }

  /**
   * Releases the connection to the pool. This is not done earlier, as bytes that were read together
   * with an answer and follow it close the connection.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (current != null) {
      current.flushAnswer();
    }
    if (answerReceived && reusable && channel.isActive()) {
      answerReceived = false;
      current = null;
      throttle.setReading(true);
      pool.release(this);
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
    pool.remove(this);
    failCurrent(new IOException("the connection was closed"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failCurrent(cause);
    close();
  }

  private void failCurrent(Throwable cause) {
    if (current != null) {
      Attempt failed = current;
      current = null;
      failed.fail(cause);
    }
  }

  @Override
  public void setReading(boolean reading) {
    throttle.setReading(reading);
  }

  @Override
  public void retireConnection() {
    reusable = false;
  }

  /** Closes the connection, as skipping the rest of the answer could be costly. */
  @Override
  public void cancel() {
    close();
  }
}
