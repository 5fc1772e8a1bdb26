package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second copy of a target's answer that comes once the next request has been sent
 * on its connection, and is taken for the answer to that request.
 */
final class LateCopyTest {
  private static final Pattern CALL = Pattern.compile("(?i)arbutus-call: ([^\\r]+)");

  private final Closer closer = new Closer();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<OutputStream> connections = new CopyOnWriteArrayList<>();
  private final List<String> answers = new CopyOnWriteArrayList<>();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void copyThatNamesItsRequestIsNotTaken() throws Exception {
    InetSocketAddress entry = entryTo(true);
    assertThat(get(entry, "/one").body()).isEqualTo("/one");
    HttpResponse<String> second = get(entry, "/two");
    assertThat(second.body()).doesNotContain("/one");
    assertThat(connections.get(1)).isSameAs(connections.get(0));
    assertThat(second.headers().firstValue("arbutus-result")).contains("200 OUTCOME_UNKNOWN");
  }

  @Test
  void connectionWhoseAnswersNameNoRequestIsNotUsedAgain() throws Exception {
    InetSocketAddress entry = entryTo(false);
    assertThat(get(entry, "/one").body()).isEqualTo("/one");
    assertThat(get(entry, "/two").body()).isEqualTo("/two");
    assertThat(connections.get(1)).isNotSameAs(connections.get(0));
  }

  /** A target that sends its first answer again before its second one. */
  private InetSocketAddress entryTo(boolean named) throws Exception {
    RawTarget target =
        closer.register(
            RawTarget.start(
                (head, in, out) -> {
                  connections.add(out);
                  answers.add(answer(head, named));
                  if (answers.size() == 2) {
                    copyToOpenConnection();
                  }
                  RawTarget.write(out, answers.get(answers.size() - 1));
                  return true;
                }));
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(true, 0, 60_000)));
    nodes.serving("orders", target.address());
    return nodes.entry();
  }

  private void copyToOpenConnection() {
    try {
      connections.get(0).write(answers.get(0).getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      // The node has closed the connection, so that nothing can arrive on it.
    }
  }

  private static String answer(String head, boolean named) {
    String path = head.split(" ", 3)[1];
    Matcher call = CALL.matcher(head);
    String name = named && call.find() ? "arbutus-call: " + call.group(1) + "\r\n" : "";
    return "HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n%s".formatted(name, path.length(), path);
  }

  private HttpResponse<String> get(InetSocketAddress entry, String path) throws Exception {
    return client.send(
        HttpRequest.newBuilder(URI.create("http://" + Addresses.format(entry) + path))
            .header(ArbutusHeaders.SERVICE, "orders")
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }
}
