package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a server that sends without end and holds up all other work of its client. */
@Timeout(120)
final class EndlessAnswerTest {
  private static final int TIMER_RUNS = 100;
  private static final String CHUNK = "1\r\nx\r\n";

  /** The share of one turn may be exceeded by one buffer, which is at most as long. */
  private static final int MAX_PARTS_BETWEEN_TIMERS =
      2 * 2 * ReadThrottle.MAX_TURN_BYTES / CHUNK.length();

  private final Closer closer = new Closer();
  private final AnswerReader client = new AnswerReader(closer);

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /** Counts the parts that are read between two runs of a timer that is always due. */
  @Test
  void timersRunWhileABodyNeverEnds() throws Exception {
    RawServer server =
        closer.register(
            new RawServer(
                (number, out) ->
                    writeForever(
                        out, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", CHUNK)));
    CompletableFuture<AnswerReader.Result> answer = client.start(server.address(), Body.empty());
    PeriodicTimer timer = new PeriodicTimer();
    client.thread().loop().execute(timer);
    assertThat(timer.mostPartsBetweenRuns.get(100, TimeUnit.SECONDS))
        .isLessThanOrEqualTo(MAX_PARTS_BETWEEN_TIMERS);
    assertThat(answer).isNotDone();
  }

  @Test
  void interimAnswersWithoutEndFailTheRequest() throws Exception {
    RawServer server =
        closer.register(
            new RawServer(
                (number, out) -> writeForever(out, "", "HTTP/1.1 102 Processing\r\n\r\n")));
    assertThat(client.get(server.address()).failure())
        .hasMessageContaining("interim answers without end");
  }

  @Test
  void someInterimAnswersAreSkipped() throws Exception {
    RawServer server =
        closer.register(
            new RawServer(
                (number, out) ->
                    RawServer.write(
                        out,
                        "HTTP/1.1 102 Processing\r\n\r\n".repeat(3)
                            + "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone")));
    for (int i = 0; i < 10; i++) {
      assertThat(client.get(server.address()).body()).isEqualTo("done");
    }
  }

  /** No part of an answer follows such a head, so nothing would consume and release the bytes. */
  @Test
  void switchOfProtocolsFailsTheRequest() throws Exception {
    RawServer server =
        closer.register(
            new RawServer(
                (number, out) ->
                    writeForever(out, "HTTP/1.1 101 Switching Protocols\r\n\r\n", "no answer")));
    assertThat(client.get(server.address()).failure())
        .hasMessageContaining("switches to another protocol");
  }

  private static void writeForever(OutputStream out, String head, String repeated)
      throws IOException {
    RawServer.write(out, head);
    byte[] many = repeated.repeat(20_000).getBytes(StandardCharsets.US_ASCII);
    while (true) {
      out.write(many);
    }
  }

  /** Completes early if the parts between two runs exceed the limit. */
  private final class PeriodicTimer implements Runnable {
    private final CompletableFuture<Integer> mostPartsBetweenRuns = new CompletableFuture<>();
    private int runs;
    private int partsBefore;
    private int most;

    @Override
    public void run() {
      int parts = client.charactersRead();
      most = Math.max(most, parts - partsBefore);
      partsBefore = parts;
      if (parts > 0) {
        runs++;
      }
      if (runs == TIMER_RUNS || most > MAX_PARTS_BETWEEN_TIMERS) {
        mostPartsBetweenRuns.complete(most);
      } else {
        var unused = client.thread().loop().schedule(this, 1, TimeUnit.MILLISECONDS);
      }
    }
  }
}
