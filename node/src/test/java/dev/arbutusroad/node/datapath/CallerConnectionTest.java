package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests requests that share a connection and callers that close theirs. */
final class CallerConnectionTest {
  /** Time for which the first request of a connection delays the second. */
  private static final long DELAY_MILLIS = 400;

  private final Closer closer = new Closer();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /**
   * Guards against granting a target more time than its caller has left, when the request has
   * waited behind another one on its connection (head-of-line blocking).
   */
  @Test
  void headOfLineWaitIsDeductedFromTheDeadline() throws Exception {
    RawTarget target =
        target(
            (head, in, out) -> {
              if (head.contains("/first")) {
                sleep(DELAY_MILLIS);
              }
              return ok(out);
            });
    InetSocketAddress entry = entryTo(target);
    try (Socket client = new Socket(entry.getAddress(), entry.getPort())) {
      RawTarget.write(
          client.getOutputStream(), request("/first", "keep-alive") + request("/second", "close"));
      client.getInputStream().readAllBytes();
    }
    assertThat(target.heads()).hasSize(2);
    assertThat(deadlineMillis(target.heads().get(0))).isBetween(1L, 3_000L);
    assertThat(deadlineMillis(target.heads().get(1))).isBetween(1L, 3_000L - DELAY_MILLIS);
  }

  private static String request(String path, String connection) {
    return """
        GET %s HTTP/1.1\r
        Host: orders\r
        arbutus-deadline-ms: 3000\r
        Connection: %s\r
        \r
        """
        .formatted(path, connection);
  }

  private static long deadlineMillis(String head) {
    Matcher found = Pattern.compile("(?i)arbutus-deadline-ms: (\\d+)").matcher(head);
    assertThat(found.find()).as(head).isTrue();
    return Long.parseLong(found.group(1));
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against work that continues after the client has disconnected. */
  @Test
  void closedClientConnectionCancelsTheWork() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    RawTarget target =
        target(
            (head, in, out) -> {
              received.countDown();
              if (in.read() < 0) {
                closed.countDown();
              }
              return false;
            });
    InetSocketAddress entry = entryTo(target);
    try (Socket socket = new Socket(entry.getAddress(), entry.getPort())) {
      RawTarget.write(socket.getOutputStream(), "GET / HTTP/1.1\r\nhost: orders\r\n\r\n");
      assertThat(received.await(20, TimeUnit.SECONDS)).isTrue();
    }

    assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
  }

  /** Guards against cancelling the call of a client that sends {@code connection: close}. */
  @Test
  void requestWithConnectionCloseIsAnswered() throws Exception {
    RawTarget target = target((head, in, out) -> ok(out));
    InetSocketAddress entry = entryTo(target);
    try (Socket socket = new Socket(entry.getAddress(), entry.getPort())) {
      RawTarget.write(
          socket.getOutputStream(), "GET / HTTP/1.1\r\nhost: orders\r\nconnection: close\r\n\r\n");
      String answer =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

      assertThat(answer).startsWith("HTTP/1.1 200 ").endsWith("ok");
    }
  }

  private RawTarget target(RawTarget.Script script) throws IOException {
    return closer.register(RawTarget.start(script));
  }

  private InetSocketAddress entryTo(RawTarget target) throws Exception {
    LoopbackNodes nodes =
        closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 0, 60_000)));
    nodes.serving("orders", target.address());
    return nodes.entry();
  }

  private static boolean ok(OutputStream out) {
    RawTarget.write(out, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    return true;
  }
}
