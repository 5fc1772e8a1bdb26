package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.node.claim.NoClaims;
import dev.arbutusroad.platform.PlatformCallProtocol;
import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a target that sends bytes without end until its connection is closed, and makes a
 * node keep them.
 */
@Timeout(120)
final class EndlessTargetTest {
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)request-id: ([^\\r]+)");
  private static final long WAIT_SECONDS = 60;

  /** Far beyond the time in which such a target must be cut off. */
  private static final long LONG_DEADLINE_MILLIS = 600_000;

  private static final long SHORT_DEADLINE_MILLIS = 2_000;

  /** Bytes after which the memory of the nodes is read; they must keep a small part of them. */
  private static final long SENT_BYTES = 16L << 20;

  private static final long MAX_KEPT_BYTES = 4L << 20;

  private final Closer closer = new Closer();
  private final CountDownLatch connectionClosed = new CountDownLatch(1);
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong mostKeptBytes = new AtomicLong();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /** The target is cut off as soon as its bytes can't be an answer, long before the deadline. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "bytes before the head          | | \\0",
        "empty lines before the head    | | \\r\\n",
        "status line                    | HTTP/1.1 200 O | x",
        "name of a field                | HTTP/1.1 200 OK\\r\\n | x",
        "value of a field               | HTTP/1.1 200 OK\\r\\n%sfoo: | x",
        "folded value of a field        | HTTP/1.1 200 OK\\r\\n%sfoo: 1\\r\\n | ' x\\r\\n'",
        "fields                         | HTTP/1.1 200 OK\\r\\n%s | foo: 1\\r\\n",
        "interim answers                | | HTTP/1.1 102 Processing\\r\\n\\r\\n",
        "switch of protocols            | HTTP/1.1 101 Switching Protocols\\r\\n\\r\\n | x",
        "size of a chunk                | CHUNKED | 0",
        "chunk extension                | CHUNKED1; | x",
        "trailers                       | CHUNKED0\\r\\n | foo: 1\\r\\n",
        "bytes after the answer         | HTTP/1.1 200 OK\\r\\n%sContent-Length: 0\\r\\n\\r\\n | x",
        "body of an unusable answer     | HTTP/1.1 200 OK\\r\\n\\r\\n | x",
        "body of a refusal              | HTTP/1.1 503 Busy\\r\\n%sNot-Executed: 1\\r\\n\\r\\n | x",
      })
  void targetIsCutOff(String name, String start, String repeated) throws Exception {
    InetSocketAddress entry = startNodes(start, repeated, LONG_DEADLINE_MILLIS);
    try (Socket client = connect(entry)) {
      client.getInputStream().readAllBytes();
      assertThat(connectionClosed.await(WAIT_SECONDS, TimeUnit.SECONDS)).as(name).isTrue();
    }
    assertThat(mostKeptBytes.get()).as(name).isLessThan(MAX_KEPT_BYTES);
  }

  /** Returns the name of each case, the start of the answer and the repeated bytes. */
  static Stream<Arguments> endlessBodies() {
    String head = "HTTP/1.1 200 OK\\r\\n%s";
    return Stream.of(
        Arguments.of("chunks", "CHUNKED", "1\\r\\nx\\r\\n"),
        Arguments.of("body without length", head + "\\r\\n", "x"),
        Arguments.of("long body", head + "Content-Length: 999999999999\\r\\n\\r\\n", "x"));
  }

  /** The body goes on to a client that reads it, and the nodes keep none of it. */
  @ParameterizedTest
  @MethodSource("endlessBodies")
  void bodyIsNotKeptForAClientThatReads(String name, String start, String repeated)
      throws Exception {
    InetSocketAddress entry = startNodes(start, repeated, LONG_DEADLINE_MILLIS);
    byte[] buffer = new byte[1 << 16];
    try (Socket client = connect(entry)) {
      while (sentBytes.get() < SENT_BYTES) {
        assertThat(client.getInputStream().read(buffer)).as(name).isPositive();
      }
    }
    assertThat(connectionClosed.await(WAIT_SECONDS, TimeUnit.SECONDS)).as(name).isTrue();
    assertThat(mostKeptBytes.get()).as(name).isLessThan(MAX_KEPT_BYTES);
  }

  /** The target is held up by back-pressure, and cut off at the deadline of the call. */
  @ParameterizedTest
  @MethodSource("endlessBodies")
  void bodyIsNotKeptForAClientThatDoesNotRead(String name, String start, String repeated)
      throws Exception {
    InetSocketAddress entry = startNodes(start, repeated, SHORT_DEADLINE_MILLIS);
    closer.register(connect(entry));
    assertThat(connectionClosed.await(WAIT_SECONDS, TimeUnit.SECONDS)).as(name).isTrue();
    assertThat(mostKeptBytes.get()).as(name).isLessThan(MAX_KEPT_BYTES);
    assertThat(sentBytes.get()).as(name).isLessThan(SENT_BYTES);
  }

  /**
   * Starts nodes with a target that repeats bytes until its connection is closed.
   *
   * @param start precedes the repeated bytes, with a placeholder for the id of the request and the
   *     seal
   */
  private InetSocketAddress startNodes(String start, String repeated, long deadlineMillis)
      throws Exception {
    RawTarget target =
        closer.register(
            RawTarget.start(
                (request, in, out) -> {
                  Matcher id = REQUEST_ID.matcher(request);
                  assertThat(id.find()).as(request).isTrue();
                  String identity = "Request-Id: " + id.group(1) + "\r\nServer-Seal: s\r\n";
                  writeWithoutEnd(
                      out,
                      start == null ? "" : unescape(start).formatted(identity),
                      unescape(repeated));
                  return false;
                }));
    LoopbackNodes nodes =
        closer.register(
            new LoopbackNodes(
                LoopbackNodes.policy(false, 0, deadlineMillis),
                new NoClaims(),
                new PlatformCallProtocol()));
    nodes.serving("orders", target.address());
    return nodes.entry();
  }

  private void writeWithoutEnd(OutputStream out, String start, String repeated) {
    try {
      out.write(start.getBytes(StandardCharsets.ISO_8859_1));
      byte[] many = repeated.repeat(10_000).getBytes(StandardCharsets.ISO_8859_1);
      while (true) {
        out.write(many);
        sentBytes.addAndGet(many.length);
        long keptBytes = PooledByteBufAllocator.DEFAULT.pinnedDirectMemory();
        mostKeptBytes.accumulateAndGet(keptBytes, Math::max);
      }
    } catch (IOException e) {
      connectionClosed.countDown();
    }
  }

  /** Replaces the escapes of the tables above, and the name of a head that several cases need. */
  private static String unescape(String text) {
    return text.replace("CHUNKED", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n")
        .replace("\\r", "\r")
        .replace("\\n", "\n")
        .replace("\\0", "\0");
  }

  private static Socket connect(InetSocketAddress entry) throws IOException {
    Socket client = new Socket(entry.getAddress(), entry.getPort());
    RawTarget.write(
        client.getOutputStream(),
        "GET / HTTP/1.1\r\nHost: orders\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n");
    return client;
  }
}
