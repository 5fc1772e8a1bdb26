package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.fatal.FatalRequests;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.node.claim.NoClaims;
import dev.arbutusroad.platform.PlatformCallProtocol;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a target that are no answer and reach the client as one. */
@Timeout(60)
final class MalformedAnswerTest {
  private static final String BODY = "bytes of the target";
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)request-id: ([^\\r]+)");

  private final Closer closer = new Closer();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void wellFormedAnswerIsForwarded() throws Exception {
    String received = receiveWithLength("HTTP/1.1 200 OK\r\n%s\r\n");
    assertThat(received).startsWith("HTTP/1.1 200 ").endsWith(BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 2 00 OK",
      })
  void answerWithoutAValidStatusIsNotForwarded(String statusLine) throws Exception {
    assertNotForwarded(statusLine + "\r\n%s\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "\0HTTP/1.1 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\u000bOK",
        "HTTP/1.1 200 O\u0001K",
        "http/1.1 200 OK",
      })
  void answerWithoutAStatusLineIsNotForwarded(String statusLine) throws Exception {
    assertNotForwarded(statusLine + "\r\n%s\r\n");
  }

  /** The line stands before and after the id, the seal and the length of the answer. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Foo bar: 1",
        "Foo\tbar: 1",
        "Foo : 1",
        "Foo\t: 1",
        " Foo: 1",
        "\tFoo: 1",
        "Foo\u0001: 1",
        "Fo\0o: 1",
        "\u000bFoo: 1",
        "Foo\u007f: 1",
        "Foo\r: 1",
        "F(o)o: 1",
        "Fo\u00e9: 1",
        "Foo",
        ": 1",
        " : 1",
        "Server-Seal : other",
        "Content-Length x: 5",
      })
  void answerWithAMalformedFieldNameIsNotForwarded(String line) throws Exception {
    assertNotForwarded("HTTP/1.1 200 OK\r\n" + line + "\r\n%s\r\n");
    assertNotForwarded("HTTP/1.1 200 OK\r\n%s" + line + "\r\n\r\n");
  }

  /** The head of such an answer has gone on, so only its missing end shows that it is broken. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "100000002\r\nab\r\n0\r\n\r\n",
        "2 x\r\nab\r\n0\r\n\r\n",
        "2\r\nab\r\n0\r\nFoo bar: 1\r\n\r\n",
      })
  void answerWithMalformedChunksIsNotComplete(String chunks) throws Exception {
    String received = receive("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n" + chunks);
    assertThat(received).doesNotEndWith("0\r\n\r\n");
  }

  @Test
  void reasonIsLogged() throws Exception {
    LoopbackNodes nodes = nodes(id -> "HTTP/1.1 000 OK\r\n" + id + "\r\n");
    get(nodes.entry());
    assertThat(nodes.logLines())
        .anySatisfy(
            line ->
                assertThat(line)
                    .startsWith("event=gate_failed id=r1 ")
                    .contains("code=OUTCOME_UNKNOWN")
                    .contains("the status of the answer is not between 100 and 599"));
  }

  /**
   * Guards against refusing a request for good because its target, which is alive, has answered it
   * with bytes that are no answer.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        "no answer\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\nno chunk\r\n",
      })
  void malformedAnswersAreNoSignOfADeadTarget(String malformed) throws Exception {
    AtomicInteger requests = new AtomicInteger();
    LoopbackNodes nodes =
        nodes(id -> requests.incrementAndGet() <= 4 ? malformed.formatted(id) : sound(id));
    InetSocketAddress entry = nodes.entry();
    for (int i = 0; i < 4; i++) {
      assertThat(get(entry)).doesNotEndWith(BODY);
      awaitDeathDetection(nodes);
    }
    assertThat(get(entry)).startsWith("HTTP/1.1 200 ").endsWith(BODY);
    assertThat(requests).hasValue(5);
  }

  /** A target that dies while it writes a head leaves an incomplete one, which is a sign of it. */
  @Test
  void headThatBreaksOffIsASignOfADeadTarget() throws Exception {
    RawTarget target =
        closer.register(
            RawTarget.start(
                (request, in, out) -> {
                  RawTarget.write(out, "HTTP/1.1 200 OK\r\nServer-");
                  return false;
                }));
    LoopbackNodes nodes = nodes(target);
    InetSocketAddress entry = nodes.entry();
    for (int i = 0; i < 3; i++) {
      get(entry);
      awaitDeathDetection(nodes);
    }
    assertThat(target.heads()).hasSize(2);
    assertThat(get(entry)).contains("FATAL_REQUEST");
  }

  /** Ticks until the nodes have decided whether broken connections mean the death of a target. */
  private static void awaitDeathDetection(LoopbackNodes nodes) throws Exception {
    long endNanos = System.nanoTime() + 2 * FatalRequests.GRACE_NANOS;
    while (System.nanoTime() - endNanos < 0) {
      nodes.tick();
    }
  }

  private void assertNotForwarded(String head) throws Exception {
    assertThat(receiveWithLength(head)).startsWith("HTTP/1.1 502 ").doesNotContain(BODY);
  }

  private String receiveWithLength(String head) throws Exception {
    return receive(head.formatted("%sContent-Length: " + BODY.length() + "\r\n") + BODY);
  }

  /**
   * Returns all bytes that a client receives if the target sends an answer.
   *
   * @param answer the answer, with a placeholder for the id of the request and the seal
   */
  private String receive(String answer) throws Exception {
    return get(nodes(answer::formatted).entry());
  }

  private static String sound(String identity) {
    return "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(identity, BODY.length(), BODY);
  }

  /**
   * Starts nodes with a target that answers each request.
   *
   * @param answer returns the bytes of an answer, given the fields with its id and its seal
   */
  private LoopbackNodes nodes(UnaryOperator<String> answer) throws Exception {
    return nodes(
        closer.register(
            RawTarget.start(
                (request, in, out) -> {
                  Matcher id = REQUEST_ID.matcher(request);
                  assertThat(id.find()).as(request).isTrue();
                  RawTarget.write(
                      out, answer.apply("Request-Id: " + id.group(1) + "\r\nServer-Seal: s\r\n"));
                  return true;
                })));
  }

  private LoopbackNodes nodes(RawTarget target) throws Exception {
    LoopbackNodes nodes =
        closer.register(
            new LoopbackNodes(
                LoopbackNodes.policy(false, 0, 20_000),
                new NoClaims(),
                new PlatformCallProtocol()));
    nodes.serving("orders", target.address());
    return nodes;
  }

  private static String get(InetSocketAddress entry) throws IOException {
    try (Socket client = new Socket(entry.getAddress(), entry.getPort())) {
      RawTarget.write(
          client.getOutputStream(),
          "GET / HTTP/1.1\r\nHost: orders\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n");
      return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }
}
