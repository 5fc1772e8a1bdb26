package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that are no answer and are decoded as one, however they are split. */
final class ResponseDecoderTest {
  private static final String BODY = "content-length: 2\r\n\r\nab";
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  private static final String CHUNKS = "2\r\nab\r\n0\r\n\r\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200",
        "HTTP/1.1 599 \u00fcber\tall",
        "HTTP/1.0 404 Not Found",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK",
      })
  void validStatusLine(String statusLine) {
    assertDecoded(statusLine + "\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 99 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 1000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 20 0",
        "HTTP/1.1 2 00",
        "HTTP/1.1 20x OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 ",
        "HTTP/1.1",
      })
  void statusThatIsNone(String statusLine) {
    assertMalformed(statusLine + "\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " HTTP/1.1 200 OK",
        "\tHTTP/1.1 200 OK",
        "\0HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1\f200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200\u000bOK",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\u0001K",
        "HTTP/1.1 200 O\u007fK",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 OK\r",
        "http/1.1 200 OK",
        "HTTP/01.1 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/11 200 OK",
        "FTPP/1.1 200 OK",
        "200 OK",
      })
  void statusLineThatIsNone(String statusLine) {
    assertMalformed(statusLine + "\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\ncontent-length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\nab",
        "HTTP/1.1 200 OK\r\r\ncontent-length: 2\r\n\r\nab",
      })
  void lineThatDoesNotEndWithCrlf(String answer) {
    assertMalformed(answer);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "foo: 1",
        "foo:1",
        "foo:",
        "foo: \t 1 \t",
        "!#$%&'*+-.^_`|~09azAZ: 1",
        "foo: bar: baz",
        "foo: \u00fc\t\"(,)\"",
      })
  void validField(String line) {
    assertDecoded("HTTP/1.1 200 OK\r\n" + line + "\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "foo bar: 1",
        "foo\tbar: 1",
        "foo : 1",
        "foo\t: 1",
        " foo: 1",
        "\tfoo: 1",
        "\0foo: 1",
        "fo\u0001o: 1",
        "foo\u000b: 1",
        "foo\f: 1",
        "foo\r: 1",
        "foo\u007f: 1",
        "fo\u00e9: 1",
        "fo\"o: 1",
        "f(o)o: 1",
        "foo",
        " ",
        ": 1",
        "content-length : 2",
        "content-length x: 5",
      })
  void fieldNameThatIsNoToken(String line) {
    assertMalformed("HTTP/1.1 200 OK\r\n" + line + "\r\n" + BODY);
    assertMalformed("HTTP/1.1 200 OK\r\nfirst: 1\r\n" + line + "\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "foo: a\0b",
        "foo: a\u0001b",
        "foo: a\rb",
        "foo: a\u007fb",
        "foo: a\u000b",
        "foo: \f1",
        "foo: 1\r",
      })
  void controlCharacterInAFieldValue(String line) {
    assertMalformed("HTTP/1.1 200 OK\r\n" + line + "\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(strings = {"chunked", "Chunked", ",chunked, ", "\tchunked\t"})
  void chunkedBody(String transferEncoding) {
    assertDecoded(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: " + transferEncoding + "\r\n\r\n" + CHUNKS);
  }

  /** The decoder knows only chunks: other codings would be passed on as the body. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "gzip",
        "identity",
        "xchunked",
        "chunked;q=1",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "chunked\r\ntransfer-encoding: chunked",
        "chunked\r\ntransfer-encoding: gzip",
        "chunked\r\ncontent-length: 2",
        "gzip\r\ncontent-length: 2",
      })
  void transferCodingsThatAreNotSupported(String fields) {
    assertMalformed("HTTP/1.1 200 OK\r\ntransfer-encoding: " + fields + "\r\n\r\n" + CHUNKS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "upgrade: x\r\n", "upgrade: HTTP/1.1\r\n"})
  void switchOfProtocols(String fields) {
    assertMalformed("HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\nab");
  }

  /** HTTP/1.0 has no transfer codings (RFC 9112, section 6.1). */
  @Test
  void transferCodingOfHttp10() {
    assertMalformed("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKS);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "+2",
        "-2",
        "0x2",
        "2 2",
        "2.0",
        "2a",
        "99999999999999999999",
        "2, 2",
        "2, 3",
        "2\r\ncontent-length: 2",
        "2\r\nContent-Length: 3",
      })
  void lengthThatIsNone(String value) {
    assertMalformed("HTTP/1.1 200 OK\r\ncontent-length: " + value + "\r\n\r\nab");
    assertMalformed("HTTP/1.0 200 OK\r\ncontent-length: " + value + "\r\n\r\nab");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "2\r\nab\r\n0\r\n\r\n",
        "02\r\nab\r\n000\r\n\r\n",
        "A\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n",
        "2;name\r\nab\r\n0;x=y\r\n\r\n",
        "2 ; name = \"a value\"\r\nab\r\n0\r\n\r\n",
        "2\r\nab\r\n0\r\nfoo: 1\r\nbar: 2\r\n\r\n",
        "2\r\n\r\n\r\n0\r\n\r\n",
      })
  void validChunks(String body) {
    assertDecoded(CHUNKED_HEAD + body);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "2 x\r\nab\r\n0\r\n\r\n",
        "2 \r\nab\r\n0\r\n\r\n",
        " 2\r\nab\r\n0\r\n\r\n",
        "2\0x\r\nab\r\n0\r\n\r\n",
        "2\t\r\nab\r\n0\r\n\r\n",
        "2;\0\r\nab\r\n0\r\n\r\n",
        "2;a\rb\r\nab\r\n0\r\n\r\n",
        "+2\r\nab\r\n0\r\n\r\n",
        "0x2\r\nab\r\n0\r\n\r\n",
        "-2\r\nab\r\n0\r\n\r\n",
        ";x\r\nab\r\n0\r\n\r\n",
        "\r\nab\r\n0\r\n\r\n",
        "2\nab\r\n0\r\n\r\n",
        "2\r\nab\n0\r\n\r\n",
        "2\r\nabc\r\n0\r\n\r\n",
        "2\r\nab\r\n\r\n0\r\n\r\n",
        "2\r\nab\r\n0 x\r\n\r\n",
        "100000002\r\nab\r\n0\r\n\r\n",
        "10000000000000002\r\nab\r\n0\r\n\r\n",
      })
  void malformedChunks(String body) {
    assertMalformed(CHUNKED_HEAD + body);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "foo bar: 1",
        "foo : 1",
        "foo\t: 1",
        " foo: 1",
        "foo",
        ": 1",
        "fo\u0001o: 1",
        "foo: a\0b"
      })
  void malformedTrailer(String line) {
    assertMalformed(CHUNKED_HEAD + "2\r\nab\r\n0\r\n" + line + "\r\n\r\n");
    assertMalformed(CHUNKED_HEAD + "2\r\nab\r\n0\r\nfirst: 1\r\n" + line + "\r\n\r\n");
  }

  private static void assertDecoded(String bytes) {
    for (int cut = 0; cut < bytes.length(); cut++) {
      assertThat(failure(bytes, cut)).as("cut at %d", cut).isEmpty();
    }
  }

  private static void assertMalformed(String bytes) {
    for (int cut = 0; cut < bytes.length(); cut++) {
      assertThat(failure(bytes, cut)).as("cut at %d", cut).isPresent();
    }
  }

  /**
   * Decodes bytes that arrive in two pieces.
   *
   * @return the cause of the first failure; empty if a whole answer was decoded
   */
  private static Optional<Throwable> failure(String bytes, int cut) {
    EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder(new AwaitingConnection()));
    receive(channel, bytes.substring(0, cut));
    receive(channel, bytes.substring(cut));
    boolean complete = false;
    Optional<Throwable> failure = Optional.empty();
    for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
      DecoderResult result = part.decoderResult();
      if (result.isFailure() && failure.isEmpty()) {
        failure = Optional.of(result.cause());
      }
      complete |= part instanceof LastHttpContent;
      if (part instanceof HttpContent content) {
        content.release();
      }
    }
    channel.finishAndReleaseAll();
    assertThat(complete || failure.isPresent()).as("the answer has an end").isTrue();
    return failure;
  }

  private static void receive(EmbeddedChannel channel, String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
  }

  /** A connection whose answer is always awaited. */
  private static final class AwaitingConnection implements ResponseDecoder.Connection {
    @Override
    public boolean isAnswerAwaited() {
      return true;
    }

    @Override
    public boolean isAnswerBodyless() {
      return false;
    }

    @Override
    public void surplusReceived() {}

    @Override
    public void inputEnded() {}

    @Override
    public void inputAborted() {}
  }
}
