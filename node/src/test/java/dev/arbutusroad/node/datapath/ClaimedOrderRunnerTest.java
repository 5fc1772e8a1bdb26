package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.node.claim.ClaimsAgent;
import dev.arbutusroad.node.claim.ClaimsIdentity;
import dev.arbutusroad.platform.PlatformClient;
import dev.arbutusroad.tools.platform.PlatformFault;
import dev.arbutusroad.tools.platform.PlatformFault.Kind;
import dev.arbutusroad.tools.platform.PlatformStandIn;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against orders that run more than once, and against false "not run" answers. */
final class ClaimedOrderRunnerTest {
  private static final String CREATED =
      "HTTP/1.1 201 Created\r\nx-order: 7\r\ncontent-length: 8\r\n\r\naccepted";

  private final Closer closer = new Closer();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private PlatformStandIn platform;

  @BeforeEach
  void start() throws IOException {
    platform = closer.register(PlatformStandIn.start(Addresses.of("127.0.0.1", 0)));
  }

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void orderSentToTwoNodesRunsOnceAndGetsTheSameAnswer() throws Exception {
    RawTarget target = target((head, in, out) -> answer(out, CREATED));
    InetSocketAddress first = node(target, 5_000);
    InetSocketAddress second = node(target, 5_000);
    for (int i = 0; i < 20; i++) {
      HttpResponse<String> firstAnswer = order(first, "20260131-" + i).join();
      HttpResponse<String> secondAnswer = order(second, "20260131-" + i).join();
      assertThat(List.of(firstAnswer.statusCode(), secondAnswer.statusCode())).containsOnly(201);
      assertThat(secondAnswer.body()).isEqualTo(firstAnswer.body()).isEqualTo("accepted");
      assertThat(secondAnswer.headers().firstValue("x-order")).contains("7");
    }
    assertThat(target.heads()).hasSize(20);
  }

  @Test
  void duplicateOfARunningOrderWaitsForItsAnswer() throws Exception {
    CountDownLatch running = new CountDownLatch(1);
    CountDownLatch finish = new CountDownLatch(1);
    RawTarget target =
        target(
            (head, in, out) -> {
              running.countDown();
              await(finish);
              return answer(out, CREATED);
            });
    CompletableFuture<HttpResponse<String>> firstAnswer = order(node(target, 20_000), "k");
    assertThat(running.await(20, TimeUnit.SECONDS)).isTrue();
    CompletableFuture<HttpResponse<String>> secondAnswer = order(node(target, 20_000), "k");
    long reads = platform.stats().reads();
    while (platform.stats().reads() < reads + 2) {
      Thread.onSpinWait();
    }
    finish.countDown();
    assertThat(secondAnswer.join().body())
        .isEqualTo(firstAnswer.join().body())
        .isEqualTo("accepted");
    assertThat(target.heads()).hasSize(1);
  }

  @Test
  void unavailableStoreMeansNotRun() throws Exception {
    RawTarget target = target((head, in, out) -> answer(out, CREATED));
    InetSocketAddress node = node(target, 5_000);
    platform.setFaults(List.of(new PlatformFault(Kind.DOWN, 0, 0, 0)));
    for (int i = 0; i < 10; i++) {
      assertThat(result(order(node, "k" + i))).contains("109 PLATFORM_UNAVAILABLE");
    }
    assertThat(target.heads()).isEmpty();
  }

  @Test
  void lostStoreAnswersNeitherLoseNorRepeatAnOrder() throws Exception {
    RawTarget target = target((head, in, out) -> answer(out, CREATED));
    InetSocketAddress node = node(target, 20_000);
    platform.setFaults(List.of(new PlatformFault(Kind.DROP_ANSWER, 0, 0, 2)));
    assertThat(order(node, "k").join().statusCode()).isEqualTo(201);
    assertThat(order(node, "k").join().statusCode()).isEqualTo(201);
    assertThat(target.heads()).hasSize(1);
  }

  @Test
  void resendIsUnknownAfterATargetDeathAndRunsAfterARefusal() throws Exception {
    RawTarget dying = target((head, in, out) -> false);
    InetSocketAddress node = node(dying, 2_000);
    assertThat(result(order(node, "k"))).contains("202 TARGET_DIED");
    assertThat(result(order(node, "k"))).contains("200 OUTCOME_UNKNOWN");
    RawTarget healthy = target((head, in, out) -> answer(out, CREATED));
    assertThat(result(order(node(healthy, 2_000), "k"))).contains("200 OUTCOME_UNKNOWN");

    RawTarget refusing =
        target(
            (head, in, out) ->
                answer(
                    out,
                    "HTTP/1.1 503 Busy\r\narbutus-not-run: true\r\ncontent-length: 0\r\n\r\n"));
    assertThat(result(order(node(refusing, 2_000), "r"))).contains("107 TARGET_REFUSED");
    assertThat(order(node(healthy, 2_000), "r").join().statusCode()).isEqualTo(201);
    assertThat(dying.heads()).hasSize(1);
    assertThat(healthy.heads()).hasSize(1);
  }

  private Optional<String> result(CompletableFuture<HttpResponse<String>> order) {
    return order.join().headers().firstValue("arbutus-result");
  }

  private CompletableFuture<HttpResponse<String>> order(InetSocketAddress entry, String key) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + Addresses.format(entry) + "/order"))
            .header(ArbutusHeaders.SERVICE, "orders")
            .header(ArbutusHeaders.ORDER_KEY, key)
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private RawTarget target(RawTarget.Script script) throws IOException {
    return closer.register(RawTarget.start(script));
  }

  /** Starts an entry node and a serving node with claims of its own; returns the entry address. */
  private InetSocketAddress node(RawTarget target, long deadlineMillis) throws Exception {
    PlatformClient store = closer.register(new PlatformClient(platform.address()));
    ClaimsAgent claims =
        closer.register(ClaimsAgent.start(new ClaimsIdentity("node", 1), store, Ticker.system()));
    LoopbackNodes nodes =
        closer.register(new LoopbackNodes(LoopbackNodes.policy(true, 0, deadlineMillis), claims));
    nodes.serving("orders", target.address());
    return nodes.entry();
  }

  private static boolean answer(OutputStream out, String answer) {
    RawTarget.write(out, answer);
    return true;
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
