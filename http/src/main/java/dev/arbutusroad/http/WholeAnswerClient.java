package dev.arbutusroad.http;

import dev.arbutusroad.core.time.Ticker;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * Sends small requests to one address and collects their whole answers, up to a limit. Any thread
 * may send; answers are completed on the thread of the client.
 *
 * <p>Each request has a connection of its own. The answers carry nothing that names their request,
 * so a second copy of an answer that comes late would be taken for the answer to the next request
 * of its connection.
 */
public final class WholeAnswerClient implements AutoCloseable {
  private final EventLoopThread thread;
  private final InetSocketAddress address;
  private final HttpConnections connections;
  private final String host;
  private final int maxAnswerBytes;

  /**
   * Creates a client without a connection.
   *
   * @param name the name of its thread
   * @param connectTimeoutMillis how long opening a connection may take
   * @param maxAnswerBytes a longer answer closes its connection and fails the request
   */
  public WholeAnswerClient(
      String name,
      InetSocketAddress address,
      Ticker ticker,
      int connectTimeoutMillis,
      int maxAnswerBytes) {
    this.thread = EventLoopThread.start(name);
    this.address = address;
    this.connections = new HttpConnections(thread, ticker, connectTimeoutMillis);
    this.host = address.getAddress().getHostAddress() + ":" + address.getPort();
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /**
   * Sends a request once.
   *
   * @param body the body, which must not be changed; none is sent if it is empty
   * @return the answer; fails with {@link NotSentException} if no byte was sent and with another
   *     IOException if the request may have arrived. Cancelling it closes the connection
   */
  public CompletableFuture<WholeAnswer> send(HttpMethod method, String target, byte[] body) {
    CompletableFuture<WholeAnswer> result = new CompletableFuture<>();
    thread.loop().execute(() -> start(method, target, body, result));
    return result;
  }

  private void start(
      HttpMethod method, String target, byte[] body, CompletableFuture<WholeAnswer> result) {
    if (result.isDone()) {
      return;
    }
    connections.closeIdle();
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, target);
    head.headers().set(HttpHeaderNames.HOST, host);
    head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (body.length > 0 || !method.equals(HttpMethod.GET)) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    Collector collector = new Collector(maxAnswerBytes, result);
    Attempt attempt =
        connections.send(address, head, Body.of(Unpooled.wrappedBuffer(body)), collector);
    collector.attempt = attempt;
    var unused =
        result.whenComplete(
            (answer, error) -> {
              if (result.isCancelled()) {
                thread.loop().execute(attempt::cancel);
              }
            });
  }

  @Override
  public void close() {
    thread.loop().execute(connections::close);
    thread.close();
  }

  private static final class Collector implements AttemptListener, BodySink {
    private final int maxBytes;
    private final CompletableFuture<WholeAnswer> result;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Attempt attempt;
    private int status;

    Collector(int maxBytes, CompletableFuture<WholeAnswer> result) {
      this.maxBytes = maxBytes;
      this.result = result;
    }

    @Override
    public void answered(Answer answer) {
      status = answer.status();
      answer.body().consume(this);
    }

    @Override
    public void failed(Throwable cause, boolean sent) {
      result.completeExceptionally(
          sent
              ? new IOException("the connection failed: " + cause, cause)
              : new NotSentException(cause));
    }

    @Override
    public void part(ByteBuf part) {
      int length = part.readableBytes();
      if (bytes.size() + length > maxBytes) {
        result.completeExceptionally(
            new IOException("the answer is longer than " + maxBytes + " bytes"));
        attempt.cancel();
      } else {
        byte[] copy = new byte[length];
        part.readBytes(copy);
        bytes.writeBytes(copy);
      }
      part.release();
    }

    @Override
    public void flush() {}

    @Override
    public void completed() {
      result.complete(new WholeAnswer(status, bytes.toByteArray()));
    }

    @Override
    public void failed(Throwable cause) {
      result.completeExceptionally(new IOException("the answer broke off: " + cause, cause));
    }
  }
}
