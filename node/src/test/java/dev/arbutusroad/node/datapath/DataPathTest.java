package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class DataPathTest {
  private static final String SHED =
      "HTTP/1.1 503 x\r\narbutus-result: 103 SHED\r\ncontent-length: 0\r\n\r\n";

  private static final String OK = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

  private final Closer closer = new Closer();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /** Guards against bodies that are changed or truncated in either direction. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 1_000, 65_536, 65_537, 5_000_000, 64 * 1_024 * 1_024})
  void bodiesPassUnchangedBothWays(int size) throws Exception {
    byte[] body = new byte[size];
    new Random(size).nextBytes(body);
    RawTarget target = target((head, in, out) -> echo(head, in, out));
    InetSocketAddress entry = entryTo(target, true, 0);

    HttpResponse<byte[]> response =
        client.send(
            request(entry, "/echo").POST(HttpRequest.BodyPublishers.ofByteArray(body)).build(),
            HttpResponse.BodyHandlers.ofByteArray());

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(Arrays.equals(response.body(), body)).isTrue();
  }

  /** Guards against forwarding a truncated answer, with a length or chunked, as a complete one. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
      })
  void truncatedAnswerIsNeverComplete(String answer) throws Exception {
    RawTarget target =
        target(
            (head, in, out) -> {
              RawTarget.write(out, answer);
              return false;
            });
    InetSocketAddress entry = entryTo(target, false, 0);

    assertThatThrownBy(() -> get(entry, "/")).isInstanceOf(IOException.class);
  }

  /** Guards against "not run" for a request that the target received before it died. */
  @Test
  void requestReceivedByADyingTargetHasUnknownOutcome() throws Exception {
    RawTarget target = target((head, in, out) -> false);
    InetSocketAddress entry = entryTo(target, true, 4);

    HttpResponse<String> response = get(entry, "/");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.headers().firstValue("arbutus-run")).contains("unknown");
    assertThat(response.headers().firstValue("arbutus-result")).contains("202 TARGET_DIED");
    assertThat(target.heads()).hasSize(1);
  }

  /** Guards against an unknown outcome when the target refuses connections and nothing is sent. */
  @Test
  void unreachableTargetIsNotRun() throws Exception {
    RawTarget target = RawTarget.start((head, in, out) -> true);
    InetSocketAddress closedAddress = target.address();
    target.close();
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(true, 0, 5_000)));
    nodes.serving("orders", closedAddress);

    HttpResponse<String> response = get(nodes.entry(), "/");

    assertThat(response.headers().firstValue("arbutus-run")).contains("not-run");
  }

  /** Guards against an unknown outcome when the target states that it did not run the request. */
  @Test
  void refusalByTheTargetIsNotRun() throws Exception {
    RawTarget target =
        target(
            (head, in, out) -> {
              RawTarget.write(
                  out, "HTTP/1.1 503 Busy\r\narbutus-not-run: true\r\ncontent-length: 0\r\n\r\n");
              return true;
            });

    HttpResponse<String> response = get(entryTo(target, true, 0), "/");

    assertThat(response.headers().firstValue("arbutus-result")).contains("107 TARGET_REFUSED");
  }

  /** Guards against the failure of a repeatable call that another target could answer. */
  @Test
  void repeatableCallIsRetriedOnAnotherTarget() throws Exception {
    RawTarget dying = target((head, in, out) -> false);
    RawTarget healthy = target((head, in, out) -> ok(out));
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 2, 5_000)));
    nodes.member("orders", dying.address());
    nodes.serving("orders", healthy.address());
    InetSocketAddress entry = nodes.entry();

    for (int i = 0; i < 20; i++) {
      assertThat(get(entry, "/").statusCode()).isEqualTo(200);
    }
  }

  /**
   * Guards against "not run" for a call that may have run at one target before the next refused.
   */
  @Test
  void refusalAfterALostAnswerDoesNotSayThatTheCallHasNotRun() throws Exception {
    RawTarget losing = target((head, in, out) -> false);
    RawTarget refusing =
        target(
            (head, in, out) -> {
              RawTarget.write(out, SHED);
              return true;
            });
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 1, 5_000)));
    nodes.member("orders", losing.address());
    nodes.member("orders", refusing.address());
    InetSocketAddress entry = nodes.entry();

    for (int i = 0; i < 10; i++) {
      int lost = losing.heads().size();
      HttpResponse<String> answer = get(entry, "/" + i);
      if (losing.heads().size() > lost) {
        assertThat(answer.headers().firstValue("arbutus-run")).contains("unknown");
      }
    }
    assertThat(losing.heads()).isNotEmpty();
  }

  /** Guards against treating a target that lost one answer, and serves others, as dead. */
  @Test
  void lostAnswerOfALiveTargetIsNotADeath() throws Exception {
    CountDownLatch lost = new CountDownLatch(1);
    CountDownLatch slowArrived = new CountDownLatch(1);
    RawTarget target =
        target(
            (head, in, out) -> {
              if (head.startsWith("GET /lost ")) {
                return false;
              }
              slowArrived.countDown();
              awaitQuietly(lost);
              return ok(out);
            });
    InetSocketAddress entry = entryTo(target, false, 0);
    CompletableFuture<HttpResponse<String>> slow =
        CompletableFuture.supplyAsync(() -> getUnchecked(entry, "/slow"));
    awaitQuietly(slowArrived);

    assertThat(get(entry, "/lost").headers().firstValue("arbutus-result"))
        .contains("200 OUTCOME_UNKNOWN");

    lost.countDown();
    assertThat(slow.get().statusCode()).isEqualTo(200);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private HttpResponse<String> getUnchecked(InetSocketAddress entry, String path) {
    try {
      return get(entry, path);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against clients that raise their importance or allowance with internal headers. */
  @Test
  void internalHeadersOfClientsAreRemoved() throws Exception {
    RawTarget target = target((head, in, out) -> ok(out));
    InetSocketAddress entry = entryTo(target, false, 0);
    String forged = new ContextCodec("another secret").encode(context());

    client.send(
        request(entry, "/")
            .header(ArbutusHeaders.CONTEXT, forged)
            .header(ArbutusHeaders.CALL, "guessed")
            .header("arbutus-importance", "100")
            .build(),
        HttpResponse.BodyHandlers.discarding());

    assertThat(target.heads().get(0))
        .doesNotContain("arbutus-importance", "guessed", "arbutus-context");
    assertThat(target.heads().get(0)).contains("arbutus-call", "arbutus-deadline-ms");
  }

  /** Guards against work that continues after the deadline, and an answer without a result code. */
  @Test
  void deadlineEndsTheCallAtEveryHop() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    RawTarget target =
        target(
            (head, in, out) -> {
              if (in.read() < 0) {
                closed.countDown();
              }
              return false;
            });
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 4, 300)));
    nodes.serving("orders", target.address());

    HttpResponse<String> response = get(nodes.entry(), "/");

    assertThat(response.headers().firstValue("arbutus-result")).contains("201 DEADLINE_EXCEEDED");
    assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
  }

  /** Guards against a HEAD answer without its content length or with a body. */
  @Test
  void headAnswerKeepsItsContentLength() throws Exception {
    RawTarget target =
        target(
            (head, in, out) -> {
              RawTarget.write(out, "HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n");
              return true;
            });
    InetSocketAddress entry = entryTo(target, false, 0);

    HttpResponse<String> response =
        client.send(
            request(entry, "/").method("HEAD", HttpRequest.BodyPublishers.noBody()).build(),
            HttpResponse.BodyHandlers.ofString());

    assertThat(response.headers().firstValue("content-length")).contains("1234");
    assertThat(response.body()).isEmpty();
  }

  /** Guards against losing a target's capacity during the whole shutdown of its node. */
  @Test
  void leavingNodeServesItsTargetUntilDrained() throws Exception {
    RawTarget target = target((head, in, out) -> ok(out));
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 0, 5_000)));
    DataPath leaving = nodes.serving("orders", target.address());
    InetSocketAddress entry = nodes.entry();

    LoopbackNodes.onEventLoop(nodes.listeners().get(0), leaving::announceLeaving);
    HttpResponse<String> whileLeaving = get(entry, "/");
    LoopbackNodes.onEventLoop(nodes.listeners().get(0), leaving::drain);
    HttpResponse<String> afterDrain = get(entry, "/");

    assertThat(whileLeaving.statusCode()).isEqualTo(200);
    assertThat(afterDrain.headers().firstValue("arbutus-result")).contains("102 LEAVING");
  }

  /** Guards against refusing a streamed upload of which no byte has been sent. */
  @Test
  void unsentUploadIsRetriedOnAnotherTarget() throws Exception {
    byte[] body = new byte[(int) RequestBody.MAX_BUFFERED_BYTES + 1];
    RawTarget target = target((head, in, out) -> in.readNBytes(body.length).length > 0 && ok(out));
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(true, 0, 5_000)));
    for (int i = 0; i < 2; i++) {
      nodes.member("orders", unusedAddress());
    }
    nodes.serving("orders", target.address());
    InetSocketAddress entry = nodes.entry();

    for (int i = 0; i < 10; i++) {
      HttpRequest upload =
          HttpRequest.newBuilder(URI.create("http://" + Addresses.format(entry) + "/"))
              .header(ArbutusHeaders.SERVICE, "orders")
              .POST(HttpRequest.BodyPublishers.ofByteArray(body))
              .build();
      assertThat(client.send(upload, HttpResponse.BodyHandlers.ofString()).statusCode())
          .isEqualTo(200);
    }
  }

  private static InetSocketAddress unusedAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return Addresses.of("127.0.0.1", socket.getLocalPort());
    }
  }

  /** Guards against a node that resumes after a pause and takes calls with a stale member view. */
  @Test
  void pausedNodeTakesNoCalls() throws Exception {
    RawTarget target = target((head, in, out) -> ok(out));
    LoopbackNodes nodes = closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 0, 5_000)));
    nodes.serving("orders", target.address());
    InetSocketAddress entry = nodes.entry();
    nodes.nodeContext().stale = true;

    HttpResponse<String> response = get(entry, "/");

    assertThat(response.headers().firstValue("arbutus-result")).contains("112 NOT_READY");
    assertThat(target.heads()).isEmpty();
  }

  /** Guards against running a call under rules from before it became unrepeatable. */
  @Test
  void newerRulesApplyToACallFromANodeWithOlderOnes() {
    CallContext original = new CallContext(7, "old", 40, false, 3, 1_000, "external", 1, 4, false);
    CallContext child = new CallContext(7, "old", 40, true, 3, 1_000, "planner", 2, 4, false);

    CallContext updated = CallReclassifier.merge(original, LoopbackNodes.policy(true, 0, 500), 5);
    CallContext updatedChild =
        CallReclassifier.merge(child, LoopbackNodes.policy(false, 0, 500), 5);

    assertThat(updated.unrepeatable()).isTrue();
    assertThat(updated.importance()).isEqualTo(50);
    assertThat(updated.grant()).isEqualTo(3);
    assertThat(updatedChild.unrepeatable()).isTrue();
    assertThat(updatedChild.importance()).isEqualTo(40);
  }

  private RawTarget target(RawTarget.Script script) throws IOException {
    return closer.register(RawTarget.start(script));
  }

  private InetSocketAddress entryTo(RawTarget target, boolean unrepeatable, int retries)
      throws Exception {
    LoopbackNodes nodes =
        closer.register(new LoopbackNodes(LoopbackNodes.policy(unrepeatable, retries, 60_000)));
    nodes.serving("orders", target.address());
    return nodes.entry();
  }

  private HttpResponse<String> get(InetSocketAddress entry, String path) throws Exception {
    return client.send(request(entry, path).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(InetSocketAddress entry, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + Addresses.format(entry) + path))
        .header(ArbutusHeaders.SERVICE, "orders");
  }

  private static boolean ok(OutputStream out) {
    RawTarget.write(out, OK);
    return true;
  }

  private static boolean echo(String head, InputStream in, OutputStream out) throws IOException {
    String marker = "content-length: ";
    int start = head.toLowerCase(java.util.Locale.ROOT).indexOf(marker);
    int length =
        start < 0
            ? 0
            : Integer.parseInt(
                head.substring(start + marker.length(), head.indexOf('\r', start)).trim());
    byte[] body = in.readNBytes(length);
    String answer = "HTTP/1.1 200 OK\r\ncontent-length: " + body.length + "\r\n\r\n";
    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
    return true;
  }

  private static CallContext context() {
    return new CallContext(1, "forged", 100, false, 64, 1_000, "external", 1, 1, false);
  }
}
