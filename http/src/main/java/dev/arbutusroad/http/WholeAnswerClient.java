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
 * An HTTP client for small requests to one address, which collects each whole answer up to a limit.
 * Requests can be sent from any thread; the returned futures are completed on the client's thread.
 *
 * <p>Each request uses a new connection. An answer carries no identifier of its request, so on a
 * reused connection a late duplicate of an answer could be taken for the answer to the next
 * request.
 */
public final class WholeAnswerClient implements AutoCloseable {
  private final EventLoopThread thread;
  private final InetSocketAddress address;
  private final HttpConnections connections;
  private final String host;
  private final int maxAnswerBytes;

  /**
   * Creates a client and starts its thread; no connection is opened yet.
   *
   * @param name the name of its thread
   * @param connectTimeoutMillis limit for opening a connection, in milliseconds
   * @param maxAnswerBytes limit of the body of an answer; a longer one closes its connection and
   *     fails the request
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
   * Sends a request once, without retries.
   *
   * @param body the body, which must not be modified afterwards; may be empty
   * @return the future of the answer; fails with {@link NotSentException} if no byte was sent and
   *     with another IOException if the request may have arrived. Cancelling it closes the
   *     connection
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
    AnswerCollector collector = new AnswerCollector(maxAnswerBytes, result);
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

  private static final class AnswerCollector implements AttemptListener, BodySink {
    private final int maxBodyBytes;
    private final CompletableFuture<WholeAnswer> result;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Attempt attempt;
    private int status;

    AnswerCollector(int maxBodyBytes, CompletableFuture<WholeAnswer> result) {
      this.maxBodyBytes = maxBodyBytes;
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
      if (bytes.size() + length > maxBodyBytes) {
        result.completeExceptionally(
            new IOException("the answer is longer than " + maxBodyBytes + " bytes"));
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
