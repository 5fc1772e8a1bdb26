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
 * Guards against a duplicate of a target's answer that arrives on a reused connection after the
 * next request has been sent, and is mistaken for the answer to that request.
 */
final class DuplicateAnswerTest {
  private static final Pattern CALL_HEADER = Pattern.compile("(?i)arbutus-call: ([^\\r]+)");

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
  void duplicateWithTheIdOfAnEarlierCallIsRejected() throws Exception {
    InetSocketAddress entry = startNodes(true);
    assertThat(get(entry, "/one").body()).isEqualTo("/one");
    HttpResponse<String> second = get(entry, "/two");
    assertThat(second.body()).doesNotContain("/one");
    assertThat(connections.get(1)).isSameAs(connections.get(0));
    assertThat(second.headers().firstValue("arbutus-result")).contains("200 OUTCOME_UNKNOWN");
  }

  @Test
  void connectionIsNotReusedIfAnswersCarryNoCallId() throws Exception {
    InetSocketAddress entry = startNodes(false);
    assertThat(get(entry, "/one").body()).isEqualTo("/one");
    assertThat(get(entry, "/two").body()).isEqualTo("/two");
    assertThat(connections.get(1)).isNotSameAs(connections.get(0));
  }

  /** Starts nodes whose target repeats its first answer before its second one. */
  private InetSocketAddress startNodes(boolean echoesCallId) throws Exception {
    RawTarget target =
        closer.register(
            RawTarget.start(
                (head, in, out) -> {
                  connections.add(out);
                  answers.add(answer(head, echoesCallId));
                  if (answers.size() == 2) {
                    repeatFirstAnswer();
                  }
                  RawTarget.write(out, answers.get(answers.size() - 1));
                  return true;
                }));
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(true, 0, 60_000)));
    nodes.serving("orders", target.address());
    return nodes.entry();
  }

  private void repeatFirstAnswer() {
    try {
      connections.get(0).write(answers.get(0).getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      // The node has closed the connection, so no duplicate can arrive on it.
    }
  }

  private static String answer(String head, boolean echoesCallId) {
    String path = head.split(" ", 3)[1];
    Matcher call = CALL_HEADER.matcher(head);
    String callHeader =
        echoesCallId && call.find() ? "arbutus-call: " + call.group(1) + "\r\n" : "";
    return "HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n%s"
        .formatted(callHeader, path.length(), path);
  }

  private HttpResponse<String> get(InetSocketAddress entry, String path) throws Exception {
    return client.send(
        HttpRequest.newBuilder(URI.create("http://" + Addresses.format(entry) + path))
            .header(ArbutusHeaders.SERVICE, "orders")
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }
}
