package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a client that are no request, or not the one that its target runs. */
@Timeout(60)
final class MalformedRequestTest {
  private static final String FIELDS = "Host: orders\r\nConnection: close\r\n\r\n";

  private final Closer closer = new Closer();
  private RawTarget target;
  private LoopbackNodes nodes;

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void wellFormedRequestReachesItsTarget() throws Exception {
    assertThat(send("GET /a?b=%20c HTTP/1.1\r\n" + FIELDS)).startsWith("HTTP/1.1 200 ");
    assertThat(target.heads()).hasSize(1);
    assertThat(target.heads().get(0)).startsWith("GET /a?b=%20c HTTP/1.1\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /S\u00c3\u00bc HTTP/1.1\r\n" + FIELDS,
        "GET /\u0001 HTTP/1.1\r\n" + FIELDS,
        "\0GET / HTTP/1.1\r\n" + FIELDS,
        "GET\t/ HTTP/1.1\r\n" + FIELDS,
        "GET / HTTP/2.0\r\n" + FIELDS,
        "GET / HTTP/1.1\r\nFoo : 1\r\n" + FIELDS,
        "GET / HTTP/1.1\r\nFoo: 1\r\n bar: 2\r\n" + FIELDS,
        "GET / HTTP/1.1\r\nHost: drawings\r\n" + FIELDS,
        "GET / HTTP/1.1\r\narbutus-service: orders\r\nConnection: close\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n" + FIELDS + "GET /b HTTP/1.1\r\n" + FIELDS,
        "POST / HTTP/1.0\r\nContent-Length: 0\r\nContent-Length: 2\r\n" + FIELDS + "ab",
      })
  void malformedRequestIsRefused(String request) throws Exception {
    assertThat(send(request)).startsWith("HTTP/1.1 400 ").doesNotContain("HTTP/1.1 200 ");
    assertThat(target.heads()).isEmpty();
  }

  /** The reason must not quote the client, whose bytes could forge other lines of the log. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'GET /\u00fc HTTP/1.1' | the target of the request is not visible ASCII",
        "'GET / HTTP/1.1\r\nFoo\u0001: 1' | a field line does not begin with a name and a colon",
        "'GET / HTTP/1.1\r\nContent-Length: +2' | the decoder rejects it: IllegalArgumentException",
      })
  void refusalIsLogged(String request, String reason) throws Exception {
    send(request + "\r\n" + FIELDS);
    assertThat(nodes.logLines())
        .singleElement(InstanceOfAssertFactories.STRING)
        .startsWith("event=request_malformed caller=/127.0.0.1:")
        .endsWith(" reason=\"malformed message: " + reason + "\"");
  }

  /** Returns what a client receives that sends the given bytes and reads to the end. */
  private String send(String bytes) throws Exception {
    target =
        closer.register(
            RawTarget.start(
                (head, in, out) -> {
                  RawTarget.write(out, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                  return true;
                }));
    nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 0, 20_000)));
    nodes.serving("orders", target.address());
    InetSocketAddress entry = nodes.entry();
    try (Socket client = new Socket(entry.getAddress(), entry.getPort())) {
      RawTarget.write(client.getOutputStream(), bytes);
      return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }
}
