package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are changed on the way, and against one that is hidden in another,
 * however their bytes are split.
 */
final class RequestDecoderTest {
  private static final String HOST = "Host: a.example\r\n";
  private static final String NEXT = "GET /next HTTP/1.1\r\n" + HOST + "\r\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.1",
        "GET / HTTP/1.0",
        "GET /a/b;c?d=%20e&f=[g|h] HTTP/1.1",
        "GET http://a.example/b HTTP/1.1",
        "OPTIONS * HTTP/1.1",
        "M-SEARCH /~a!$&'()*+,;=:@ HTTP/1.1",
        "\r\nGET / HTTP/1.1",
      })
  void validRequestLine(String line) {
    assertDecoded(line + "\r\n" + HOST + "\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        " GET / HTTP/1.1",
        "\tGET / HTTP/1.1",
        "\0GET / HTTP/1.1",
        "\u0001GET / HTTP/1.1",
        "\r\n\r\n\r\n\r\nGET / HTTP/1.1",
        "GET  / HTTP/1.1",
        "GET\t/ HTTP/1.1",
        "GET\u000b/ HTTP/1.1",
        "GET /  HTTP/1.1",
        "GET /\tHTTP/1.1",
        "GET / HTTP/1.1 ",
        "GET / x HTTP/1.1",
        "GET / HTTP/1.1 x",
        "GET  HTTP/1.1",
        "GET HTTP/1.1",
        "GET /",
        "GET",
        "G(T / HTTP/1.1",
        "G\u00cbT / HTTP/1.1",
        "GET / http/1.1",
        "GET / HTTP/1.10",
        "GET / HTTP/2.0",
        "GET / HTTP/0.9",
        "GET / HTTP/11",
        "GET / FTPP/1.1",
      })
  void malformedRequestLine(String line) {
    assertMalformed(line + "\r\n" + HOST + "\r\n");
  }

  /** Such bytes can't be written unchanged to the next process. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "/\0",
        "/\u0001",
        "/a\u000bb",
        "/\u007f",
        "/S\u00c3\u00bc\u00df",
        "/?\u00e9",
        "/\r"
      })
  void targetWithOtherThanVisibleAscii(String target) {
    assertMalformed("GET " + target + " HTTP/1.1\r\n" + HOST + "\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "foo bar: 1",
        "foo : 1",
        "foo\t: 1",
        " foo: 1",
        "\tfoo: 1",
        "foo",
        ": 1",
        "fo\u0001o: 1",
        "foo: a\0b",
        "foo: a\rb",
        "foo: a\u0001b"
      })
  void malformedField(String line) {
    assertMalformed("GET / HTTP/1.1\r\n" + line + "\r\n" + HOST + "\r\n");
    assertMalformed("GET / HTTP/1.1\r\n" + HOST + line + "\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"a.example", "a.example:80", "[::1]:8080", "", "a_b-c.%41!$&'()*+,;=~"})
  void validHost(String value) {
    assertDecoded("GET / HTTP/1.1\r\nHost: " + value + "\r\n\r\n");
  }

  /** Two recipients could take such a request for two different hosts. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "a.example\r\nHost: b.example",
        "a.example\r\nhost: a.example",
        "a.example, b.example",
        "a.example/b",
        "a@b.example",
        "a b",
        "a\\b",
        "\u00e4.example",
      })
  void hostThatIsAmbiguous(String value) {
    assertMalformed("GET / HTTP/1.1\r\nHost: " + value + "\r\n\r\n");
  }

  /** What follows the head would be taken for further requests. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding:",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: 2\r\nTransfer-Encoding: gzip",
        "Content-Length: 2\r\nContent-Length: 2",
        "Content-Length: 2\r\nContent-Length: 3",
        "Content-Length: 2, 2",
        "Content-Length: +2",
        "Content-Length: 2 2",
        "Content-Length:",
      })
  void lengthThatIsAmbiguous(String fields) {
    for (String version : List.of("HTTP/1.1", "HTTP/1.0")) {
      assertMalformed("POST / " + version + "\r\n" + HOST + fields + "\r\n\r\n" + NEXT);
    }
  }

  @Test
  void transferCodingOfHttp10() {
    assertMalformed(
        "POST / HTTP/1.0\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + NEXT);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"100000002\r\nab\r\n0\r\n\r\n", "2 x\r\nab\r\n0\r\n\r\n", "0\r\nfoo : 1\r\n\r\n"})
  void malformedChunks(String body) {
    assertMalformed(
        "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n" + body + NEXT);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 0\r\n\r\n",
        "Content-Length: 4\r\n\r\n\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0\r\nfoo: 1\r\n\r\n",
        "\r\n",
      })
  void pipelinedRequests(String fieldsAndBody) {
    String request = "POST / HTTP/1.1\r\n" + HOST + fieldsAndBody;
    String bytes = request + NEXT + "\r\n" + request + NEXT;
    for (int cut = 0; cut < bytes.length(); cut++) {
      assertThat(decode(bytes, cut))
          .as("cut at %d", cut)
          .containsExactly("/", "/next", "/", "/next");
    }
  }

  private static void assertDecoded(String bytes) {
    for (int cut = 0; cut < bytes.length(); cut++) {
      assertThat(decode(bytes, cut)).as("cut at %d", cut).hasSize(1).doesNotContain("malformed");
    }
  }

  private static void assertMalformed(String bytes) {
    for (int cut = 0; cut < bytes.length(); cut++) {
      assertThat(decode(bytes, cut)).as("cut at %d", cut).containsExactly("malformed");
    }
  }

  /**
   * Decodes bytes that arrive in two pieces.
   *
   * @return the targets of the requests that are whole, and "malformed" for each failure
   */
  private static List<String> decode(String bytes, int cut) {
    EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder());
    receive(channel, bytes.substring(0, cut));
    receive(channel, bytes.substring(cut));
    List<String> decoded = new ArrayList<>();
    String target = "";
    for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
      if (part instanceof HttpRequest request) {
        target = request.uri();
      }
      if (part.decoderResult().isFailure()) {
        decoded.add("malformed");
      } else if (part instanceof LastHttpContent) {
        decoded.add(target);
      }
      if (part instanceof HttpContent content) {
        content.release();
      }
    }
    channel.finishAndReleaseAll();
    return decoded;
  }

  private static void receive(EmbeddedChannel channel, String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
  }
}
