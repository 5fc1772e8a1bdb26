package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against an answer whose head broke off and that is passed on with an empty or a short
 * body.
 */
@Timeout(60)
final class TruncatedHeadTest {
  private static final String WITH_LENGTH =
      "HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 10\r\nserver-seal: s\r\n\r\n";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nrequest-id: 7\r\ntransfer-encoding: chunked\r\nserver-seal: s\r\n\r\n";
  private static final String WITHOUT_LENGTH =
      "HTTP/1.1 200 OK\r\nrequest-id: 7\r\nserver-seal: s\r\n\r\n";

  private final Closer closer = new Closer();
  private final AnswerReader client = new AnswerReader(closer);

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void headThatBreaksOffIsNoAnswer() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      for (String head : new String[] {WITH_LENGTH, CHUNKED, WITHOUT_LENGTH}) {
        for (int cut = 0; cut < head.length(); cut++) {
          for (boolean reset : new boolean[] {false, true}) {
            assertThat(failure(listener, head.substring(0, cut), reset))
                .as("\"%s\" cut at %d, reset %s", head, cut, reset)
                .isNotNull();
          }
        }
      }
    }
  }

  private Throwable failure(ServerSocket listener, String bytes, boolean reset) throws Exception {
    InetSocketAddress address =
        new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    CompletableFuture<AnswerReader.Result> result = client.start(address, Body.empty());
    try (Socket connection = listener.accept()) {
      RawServer.write(connection.getOutputStream(), bytes);
      if (reset) {
        connection.setSoLinger(true, 0);
      }
    }
    return result.get(30, TimeUnit.SECONDS).failure();
  }
}
