package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against answers that are mixed up when a server answers twice, the second time late, in
 * pieces or broken off: an answer with the id of its request must be its own, and whole.
 */
@Timeout(120)
final class StutteringServerTest {
  private static final long SEED = Long.getLong("arbutusroad.seed", 29);
  private static final int ROUNDS = 300;
  private static final int CONCURRENT_REQUESTS = 8;
  private static final double FAILED_SHARE = 0.4;
  private static final double REPEATED_SHARE = 0.5;
  private static final int MAX_PAUSE_MILLIS = 3;

  private final Closer closer = new Closer();
  private final AnswerReader client = new AnswerReader(closer);
  private final Random random = new Random(SEED);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private volatile boolean breaksOff;

  @AfterEach
  void close() throws IOException {
    threads.shutdownNow();
    closer.close();
  }

  @Test
  void wholeDuplicatesAreNotMixedUp() throws Exception {
    assertThat(mixedUp()).isEmpty();
  }

  @Test
  void duplicatesThatBreakOffAreNotMixedUp() throws Exception {
    breaksOff = true;
    assertThat(mixedUp()).isEmpty();
  }

  private List<String> mixedUp() throws Exception {
    InetSocketAddress server = startServer();
    List<String> mixedUp = new ArrayList<>();
    int own = 0;
    for (int round = 0; round < ROUNDS; round++) {
      List<CompletableFuture<AnswerReader.Result>> answers = new ArrayList<>();
      for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
        answers.add(client.start(server, path(round, i), Body.empty()));
      }
      for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
        AnswerReader.Result answer = answers.get(i).get(30, TimeUnit.SECONDS);
        String path = path(round, i);
        if (answer.isComplete() && path.equals(answer.headers().get("request-id"))) {
          own++;
          if (!answer.body().equals(body(path, answer.status()))) {
            mixedUp.add(path + ": " + answer.status() + " " + answer.body() + ", seed " + SEED);
          }
        }
      }
    }
    assertThat(own).isPositive();
    return mixedUp;
  }

  private static String path(int round, int number) {
    return "/" + round + "/" + number;
  }

  private static String body(String path, int status) {
    return "the answer to " + path + " is " + status;
  }

  private InetSocketAddress startServer() throws IOException {
    ServerSocket listener =
        closer.register(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    threads.execute(
        () -> {
          try {
            while (true) {
              Socket connection = listener.accept();
              threads.execute(() -> serve(connection));
            }
          } catch (IOException e) {
            // The test has ended.
          }
        });
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      for (String path = readPath(in); !path.isEmpty(); path = readPath(in)) {
        int status = draw() < FAILED_SHARE ? 500 : 200;
        String answer = answer(path, status);
        write(out, answer);
        if (draw() < REPEATED_SHARE) {
          int length = breaksOff ? (int) (draw() * answer.length()) : answer.length();
          threads.execute(() -> repeat(out, answer.substring(0, length)));
        }
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static String answer(String path, int status) {
    String body = body(path, status);
    return "HTTP/1.1 %d Status\r\ncontent-type: text/plain\r\nrequest-id: %s\r\ncontent-length: %d\r\n\r\n%s"
        .formatted(status, path, body.length(), body);
  }

  /** Writes a duplicate late, in two pieces. */
  private void repeat(OutputStream out, String duplicate) {
    int split = (int) (draw() * duplicate.length());
    try {
      pause();
      write(out, duplicate.substring(0, split));
      pause();
      write(out, duplicate.substring(split));
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  /** Writes the text without letting another answer come between its bytes. */
  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private void pause() {
    try {
      Thread.sleep((long) (draw() * MAX_PAUSE_MILLIS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized double draw() {
    return random.nextDouble();
  }

  private static String readPath(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString().split(" ", 3)[1];
  }
}
