package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against the start of a duplicate answer that is joined to the next answer. */
@Timeout(60)
final class SurplusBytesTest {
  private static final String REFUSAL =
      """
      HTTP/1.1 503 Service Unavailable\r
      not-run: 1\r
      content-type: text/plain; charset=utf-8\r
      content-length: 0\r
      \r
      """;
  private static final String ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

  private final Closer closer = new Closer();
  private final AnswerReader client = new AnswerReader(closer);

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /** The duplicate is cut at each byte and arrives in one read with the refusal before it. */
  @Test
  void startOfADuplicateClosesTheConnection() throws Exception {
    for (int cut = 1; cut < REFUSAL.length(); cut++) {
      String start = REFUSAL.substring(0, cut);
      RawServer server =
          server((number, out) -> RawServer.write(out, number == 1 ? REFUSAL + start : ANSWER));
      assertThat(client.get(server.address()).status()).isEqualTo(503);
      AnswerReader.Result second = client.get(server.address());
      assertThat(second.failure()).as("cut %d", cut).isNull();
      assertThat(second.status()).as("cut %d", cut).isEqualTo(200);
      assertThat(second.body()).isEqualTo("done");
      assertThat(server.connectionOfRequest()).containsExactly(1, 2);
    }
  }

  /** The duplicate arrives after the next request was sent, so only its content gives it away. */
  @Test
  void lateStartOfADuplicateIsNotTakenForTheStatusOfTheNextAnswer() throws Exception {
    for (int cut = 1; cut < REFUSAL.length(); cut++) {
      String start = REFUSAL.substring(0, cut);
      RawServer server =
          server((number, out) -> RawServer.write(out, number == 1 ? REFUSAL : start + ANSWER));
      assertThat(client.get(server.address()).status()).isEqualTo(503);
      AnswerReader.Result second = client.get(server.address());
      assertThat(server.connectionOfRequest()).containsExactly(1, 1);
      if (second.isComplete()) {
        assertThat(second.status()).as("cut %d", cut).isEqualTo(200);
      }
    }
  }

  @Test
  void connectionWithoutSurplusBytesIsReused() throws Exception {
    RawServer server = server((number, out) -> RawServer.write(out, ANSWER));
    for (int i = 0; i < 3; i++) {
      assertThat(client.get(server.address()).body()).isEqualTo("done");
    }
    assertThat(server.connectionOfRequest()).containsExactly(1, 1, 1);
  }

  private RawServer server(RawServer.Script script) throws IOException {
    return closer.register(new RawServer(script));
  }
}
