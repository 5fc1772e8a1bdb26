package dev.arbutusroad.http;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.time.Ticker;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Sends requests over pooled connections and reads each answer to its end or its failure. */
final class AnswerReader {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long WAIT_SECONDS = 30;

  private final EventLoopThread thread;
  private final HttpConnections connections;
  private volatile int charactersRead;

  AnswerReader(Closer closer) {
    thread = closer.register(EventLoopThread.start("client"));
    connections = new HttpConnections(thread, Ticker.system(), CONNECT_TIMEOUT_MILLIS);
    closer.register(() -> thread.loop().submit(connections::close).get());
  }

  /** The end of one attempt: an answer, or the cause of a failure. */
  record Result(int status, HttpHeaders headers, String body, Throwable failure) {
    boolean isComplete() {
      return failure == null;
    }
  }

  /** Sends a request without a body and waits for the end of its answer. */
  Result get(InetSocketAddress address) throws Exception {
    return send(address, Body.empty());
  }

  /** Sends a request and waits for the end of its answer. */
  Result send(InetSocketAddress address, Body body) throws Exception {
    return start(address, body).get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends a request; the future is completed at the end of its answer. */
  CompletableFuture<Result> start(InetSocketAddress address, Body body) {
    return start(address, "/", body);
  }

  /** Sends a request for a path; the future is completed at the end of its answer. */
  CompletableFuture<Result> start(InetSocketAddress address, String path, Body body) {
    Collector collector = new Collector();
    thread.loop().execute(() -> collector.start(address, path, body));
    return collector.result;
  }

  /** Returns the length of the body of the latest answer, as far as it has been read. */
  int charactersRead() {
    return charactersRead;
  }

  /** Returns the event loop that all connections are on. */
  EventLoopThread thread() {
    return thread;
  }

  private final class Collector implements AttemptListener, BodySink {
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private int status;
    private HttpHeaders headers;

    private void start(InetSocketAddress address, String path, Body body) {
      connections.send(
          address, new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path), body, this);
    }

    @Override
    public void answered(Answer answer) {
      status = answer.status();
      headers = answer.headers();
      answer.body().consume(this);
    }

    @Override
    public void failed(Throwable cause, boolean sent) {
      failed(cause);
    }

    @Override
    public void part(ByteBuf part) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      charactersRead = text.length();
      part.release();
    }

    @Override
    public void flush() {}

    @Override
    public void completed() {
      result.complete(new Result(status, headers, text.toString(), null));
    }

    @Override
    public void failed(Throwable cause) {
      result.complete(new Result(status, headers, text.toString(), cause));
    }
  }
}
