package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.time.Ticker;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against truncated answers taken for whole ones, answers taken for those to another
 * request, and answers buffered without a limit.
 */
@Timeout(60)
final class WholeAnswerClientTest {
  private static final int MAX_BYTES = 100_000;
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String FILLER = "0123456789".repeat(100);

  private final Closer closer = new Closer();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void eachAnswerIsWholeAndUsesANewConnection() throws Exception {
    RawServer server = server((number, out) -> writeAnswer(out, "answer " + number));
    WholeAnswerClient client = client(server.address());
    assertThat(text(client)).isEqualTo("answer 1");
    assertThat(text(client)).isEqualTo("answer 2");
    assertThat(server.connectionOfRequest()).containsExactly(1, 2);
  }

  /** The duplicate follows the answer directly and must not be taken for the next answer. */
  @Test
  void duplicateAnswerIsNotTakenForTheNextAnswer() throws Exception {
    RawServer server =
        server(
            (number, out) -> {
              writeAnswer(out, "answer " + number);
              writeAnswer(out, "answer " + number);
            });
    WholeAnswerClient client = client(server.address());
    assertThat(text(client)).isEqualTo("answer 1");
    assertThat(text(client)).isEqualTo("answer 2");
    assertThat(server.connectionOfRequest()).containsExactly(1, 2);
  }

  /** The duplicate is sent on the first connection once the server has read the next request. */
  @Test
  void lateDuplicateAnswerIsNotTakenForTheNextAnswer() throws Exception {
    List<OutputStream> connections = new CopyOnWriteArrayList<>();
    RawServer server =
        server(
            (number, out) -> {
              connections.add(out);
              if (number == 2) {
                writeIfOpen(connections.get(0), "answer 1");
              }
              writeAnswer(out, "answer " + number);
            });
    WholeAnswerClient client = client(server.address());
    assertThat(text(client)).isEqualTo("answer 1");
    assertThat(text(client)).isEqualTo("answer 2");
  }

  @Test
  void truncatedAnswerFails() throws Exception {
    RawServer server =
        server(
            (number, out) -> {
              RawServer.write(out, OK + "Content-Length: 10\r\n\r\n01234");
              throw new IOException("the server ends");
            });
    assertFails(server, "broke off");
  }

  @Test
  void answerWithContentLengthAndTransferEncodingFails() throws Exception {
    RawServer server =
        server(
            (number, out) ->
                RawServer.write(
                    out,
                    OK
                        + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nok\r\n0\r\n\r\n"));
    assertFails(server, "malformed");
  }

  @Test
  void endlessBodyIsAbortedAtItsLimit() throws Exception {
    assertEndlessAnswerAborted(OK + "\r\n", FILLER);
  }

  @Test
  void endlessChunksAreAbortedAtTheirLimit() throws Exception {
    assertEndlessAnswerAborted(
        OK + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + FILLER + "\r\n");
  }

  @Test
  void endlessChunkHeaderIsAbortedAtItsLimit() throws Exception {
    assertEndlessAnswerAborted(OK + "Transfer-Encoding: chunked\r\n\r\n1;x=", FILLER);
  }

  @Test
  void endlessStatusLineIsAbortedAtItsLimit() throws Exception {
    assertEndlessAnswerAborted("HTTP/1.1 200 ", FILLER);
  }

  @Test
  void endlessHeadIsAbortedAtItsLimit() throws Exception {
    assertEndlessAnswerAborted(OK, "x-more: " + FILLER + "\r\n");
  }

  @Test
  void endlessTrailersAreAbortedAtTheirLimit() throws Exception {
    assertEndlessAnswerAborted(
        OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "x-more: " + FILLER + "\r\n");
  }

  @Test
  void surplusBytesAfterAnAnswerCloseTheConnection() throws Exception {
    RawServer server =
        server(
            (number, out) -> {
              writeAnswer(out, "answer");
              writeWithoutEnd(out, FILLER);
            });
    WholeAnswerClient client = client(server.address());
    assertThat(text(client)).isEqualTo("answer");
    awaitConnectionFailure(server);
  }

  @Test
  void failedConnectIsReportedAsNotSent() throws Exception {
    RawServer server = server((number, out) -> {});
    server.close();
    assertThatThrownBy(() -> text(client(server.address())))
        .cause()
        .isInstanceOf(NotSentException.class);
  }

  @Test
  void cancelledRequestClosesItsConnection() throws Exception {
    RawServer server = server((number, out) -> writeWithoutEnd(out, OK.substring(0, 1)));
    CompletableFuture<WholeAnswer> answer =
        client(server.address()).send(HttpMethod.GET, "/", new byte[0]);
    while (server.connectionOfRequest().isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    answer.cancel(true);
    awaitConnectionFailure(server);
  }

  private void assertEndlessAnswerAborted(String start, String repeated) throws Exception {
    RawServer server =
        server(
            (number, out) -> {
              RawServer.write(out, start);
              writeWithoutEnd(out, repeated);
            });
    assertThatThrownBy(() -> text(client(server.address())))
        .cause()
        .isInstanceOf(IOException.class);
    awaitConnectionFailure(server);
  }

  private void assertFails(RawServer server, String reason) {
    assertThatThrownBy(() -> text(client(server.address())))
        .isInstanceOf(ExecutionException.class)
        .hasMessageContaining(reason);
  }

  private static void awaitConnectionFailure(RawServer server) throws InterruptedException {
    while (!server.hasConnectionFailed()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private static void writeWithoutEnd(OutputStream out, String text) throws IOException {
    while (true) {
      RawServer.write(out, text);
    }
  }

  private static void writeIfOpen(OutputStream out, String body) {
    try {
      writeAnswer(out, body);
    } catch (IOException e) {
      // The client has closed the connection, so the duplicate cannot arrive.
    }
  }

  private static void writeAnswer(OutputStream out, String body) throws IOException {
    RawServer.write(out, OK + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  private static String text(WholeAnswerClient client) throws Exception {
    WholeAnswer answer =
        client.send(HttpMethod.GET, "/a?b=c", new byte[0]).get(30, TimeUnit.SECONDS);
    assertThat(answer.status()).isEqualTo(200);
    return new String(answer.body(), StandardCharsets.US_ASCII);
  }

  private RawServer server(RawServer.Script script) throws IOException {
    return closer.register(new RawServer(script));
  }

  private WholeAnswerClient client(InetSocketAddress address) {
    return closer.register(
        new WholeAnswerClient("test", address, Ticker.system(), 1_000, MAX_BYTES));
  }
}
