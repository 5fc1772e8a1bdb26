package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against mixed-up or truncated answers on caller connections, and leaked exchanges. */
@Timeout(60)
final class ServerConnectionTest {
  private final Closer closer = new Closer();
  private final EventLoopThread thread = closer.register(EventLoopThread.start("data-path"));

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    Socket client = connect(exchange -> exchange.answer(ok(exchange.request().uri())));
    send(client, get("/a") + get("/b") + "GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
    String answers = readAll(client);
    assertThat(answers.split("HTTP/1.1 200", -1)).hasSize(4);
    assertThat(answers).containsSubsequence("\r\n\r\n/a", "\r\n\r\n/b", "\r\n\r\n/c");
  }

  @Test
  void pipelinedRequestWaitsForTheEarlierAnswer() throws Exception {
    CompletableFuture<Exchange> first = new CompletableFuture<>();
    Socket client =
        connect(
            exchange -> {
              if (!first.complete(exchange)) {
                exchange.answer(ok("second"));
              }
            });
    send(client, get("/a") + "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
    Exchange waiting = first.get(20, TimeUnit.SECONDS);
    thread.loop().execute(() -> waiting.answer(ok("first")));
    assertThat(readAll(client)).containsSubsequence("first", "second");
  }

  @Test
  void truncatedAnswerHasNoFinalChunk() throws Exception {
    Socket client = connect(ServerConnectionTest::answerHalf);
    send(client, get("/"));
    assertThat(readAll(client)).doesNotContain("\r\n0\r\n\r\n");
  }

  /** The end of such an answer is the end of its connection, so only a reset tells them apart. */
  @Test
  void truncatedAnswerWithoutFramingIsReset() throws Exception {
    Socket client = connect(ServerConnectionTest::answerHalf);
    send(client, "GET / HTTP/1.0\r\n\r\n");
    assertThatThrownBy(() -> readAll(client)).isInstanceOf(SocketException.class);
  }

  /** Answers without a length, and breaks off. */
  private static void answerHalf(Exchange exchange) {
    Body body = new Body(new NoOpSource());
    exchange.answer(
        new Answer(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK), body));
    body.add(Unpooled.copiedBuffer("half", StandardCharsets.US_ASCII));
    body.flush();
    body.fail(new IOException("the source broke"));
  }

  @Test
  void disconnectOfTheCallerEndsTheExchange() throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    CountDownLatch started = new CountDownLatch(1);
    Socket client =
        connect(
            exchange -> {
              exchange.whenEnded(
                  complete -> {
                    if (!complete) {
                      ended.countDown();
                    }
                  });
              started.countDown();
            });
    send(client, get("/"));
    assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
    client.close();
    assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
  }

  /** A caller that sends no other request may close its output while it awaits the answer. */
  @Test
  void halfClosedCallerStillGetsItsAnswer() throws Exception {
    CompletableFuture<Exchange> received = new CompletableFuture<>();
    Socket client = connect(received::complete);
    send(client, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    client.shutdownOutput();
    Exchange exchange = received.get(20, TimeUnit.SECONDS);
    thread.loop().execute(() -> exchange.answer(ok("late")));
    assertThat(readAll(client)).endsWith("late");
  }

  @Test
  void answerBeforeTheEndOfTheRequestKeepsTheConnectionUsable() throws Exception {
    Socket client = connect(exchange -> exchange.answer(ok(exchange.request().uri())));
    send(client, "POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\n01234");
    InputStream in = client.getInputStream();
    StringBuilder first = new StringBuilder();
    while (!first.toString().endsWith("\r\n\r\n/a")) {
      first.append((char) in.read());
    }
    send(client, "56789GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
    assertThat(readAll(client)).startsWith("HTTP/1.1 200").endsWith("/b");
  }

  /**
   * Guards against closing a connection while the rest of a request arrives: the close would be a
   * reset, which can overtake the refusal.
   */
  @Test
  void refusalOfAMalformedRequestReachesACallerThatGoesOnSending() throws Exception {
    byte[] part = new byte[1 << 16];
    for (int i = 0; i < 50; i++) {
      Socket client = connect(exchange -> exchange.answer(ok("never")));
      send(client, "POST / HTTP/1.1\r\nFoo : 1\r\nContent-Length: 10000000\r\n\r\n");
      for (int sent = 0; sent < 8; sent++) {
        client.getOutputStream().write(part);
      }
      assertThat(readAll(client)).as("attempt %d", i).startsWith("HTTP/1.1 400");
    }
  }

  @Test
  void malformedRequestIsRejectedAndTheConnectionClosed() throws Exception {
    Socket client = connect(exchange -> exchange.answer(ok("never")));
    send(client, "this is no request\r\n\r\n");
    assertThat(readAll(client)).startsWith("HTTP/1.1 400").doesNotContain("never");
  }

  /** Guards against request smuggling: an intermediary may see the end at another byte. */
  @Test
  void requestWithContentLengthAndTransferEncodingIsRejected() throws Exception {
    Socket client = connect(exchange -> exchange.answer(ok("served")));
    send(
        client,
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "0\r\n\r\n"
            + get("/smuggled"));
    assertThat(readAll(client)).startsWith("HTTP/1.1 400").doesNotContain("served");
  }

  @Test
  void answerToHeadStatesItsLengthAndHasNoBody() throws Exception {
    Socket client = connect(exchange -> exchange.answer(ok("body")));
    send(client, "HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    assertThat(readAll(client)).contains("content-length: 4").endsWith("\r\n\r\n");
  }

  @Test
  void pipelinedRequestAfterAClosingAnswerIsNotServed() throws Exception {
    List<String> served = new CopyOnWriteArrayList<>();
    Socket client =
        connect(
            exchange -> {
              served.add(exchange.request().uri());
              Answer answer = ok(exchange.request().uri());
              answer.headers().set("connection", "close");
              exchange.answer(answer);
            });
    send(client, get("/a") + get("/b"));
    assertThat(readAll(client)).endsWith("/a");
    assertThat(served).containsExactly("/a");
  }

  @Test
  void pipelinedRequestReportsItsWaitingTime() throws Exception {
    CompletableFuture<Exchange> first = new CompletableFuture<>();
    CompletableFuture<Long> waited = new CompletableFuture<>();
    Socket client =
        connect(
            exchange -> {
              if (!first.complete(exchange)) {
                waited.complete(exchange.waitedNanos());
              }
            });
    send(client, get("/a") + get("/b"));
    Exchange waiting = first.get(20, TimeUnit.SECONDS);
    assertThat(waiting.waitedNanos()).isZero();
    var unused = thread.after(TimeUnit.MILLISECONDS.toNanos(30), () -> waiting.answer(ok("first")));
    assertThat(waited.get(20, TimeUnit.SECONDS)).isGreaterThan(0);
  }

  /** The disconnect must be noticed even while pipelined requests wait. */
  @Test
  void disconnectWithPipelinedRequestsEndsTheExchange() throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    CountDownLatch started = new CountDownLatch(1);
    Socket client =
        connect(
            exchange -> {
              exchange.whenEnded(complete -> ended.countDown());
              started.countDown();
            });
    send(client, get("/a") + get("/b") + get("/c"));
    assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
    client.close();
    assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void endlessHeadIsRejectedAtItsLimit() throws Exception {
    Socket client = connect(exchange -> exchange.answer(ok("never")));
    send(client, "GET / HTTP/1.1\r\n");
    sendUntilClosed(client, "x-more: 0123456789012345678901234567890123456789\r\n");
  }

  @Test
  void endlessRequestLineIsRejectedAtItsLimit() throws Exception {
    Socket client = connect(exchange -> exchange.answer(ok("never")));
    send(client, "GET /");
    sendUntilClosed(client, "0123456789012345678901234567890123456789");
  }

  @Test
  void drainClosesIdleConnectionsAndFinishesTheOthers() throws Exception {
    CompletableFuture<Exchange> received = new CompletableFuture<>();
    HttpListener listener =
        HttpListener.start(thread, Addresses.of("127.0.0.1", 0), received::complete);
    Socket idle =
        closer.register(new Socket(InetAddress.getLoopbackAddress(), listener.address().getPort()));
    Socket busy =
        closer.register(new Socket(InetAddress.getLoopbackAddress(), listener.address().getPort()));
    send(busy, get("/"));
    Exchange exchange = received.get(20, TimeUnit.SECONDS);
    CompletableFuture<Void> drained = listener.closeGracefully();
    assertThat(idle.getInputStream().read()).isNegative();
    assertThat(drained).isNotDone();
    thread.loop().execute(() -> exchange.answer(ok("done")));
    assertThat(readAll(busy)).contains("connection: close").endsWith("done");
    drained.get(20, TimeUnit.SECONDS);
  }

  private Socket connect(ExchangeHandler handler) throws IOException {
    HttpListener listener = HttpListener.start(thread, Addresses.of("127.0.0.1", 0), handler);
    return closer.register(
        new Socket(InetAddress.getLoopbackAddress(), listener.address().getPort()));
  }

  private static Answer ok(String body) {
    return Answer.of(HttpResponseStatus.OK, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
  }

  private static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  private static void send(Socket client, String text) throws IOException {
    client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Sends text until the server resets the connection, which it must do within 16 MiB. */
  private static void sendUntilClosed(Socket client, String text) {
    assertThatThrownBy(
            () -> {
              for (int sent = 0; sent < 16 << 20; sent += text.length()) {
                send(client, text);
              }
            })
        .isInstanceOf(SocketException.class);
  }

  private static String readAll(Socket client) throws IOException {
    return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  private static final class NoOpSource implements BodySource {
    @Override
    public void setReading(boolean reading) {}

    @Override
    public void cancel() {}
  }
}
