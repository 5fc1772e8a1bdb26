package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.fatal.FatalEntry;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class OverloadTest {
  private static final String OK = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
  private static final long TIMEOUT_SECONDS = 20;

  private final Closer closer = new Closer();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /** Guards against exceeding the concurrency limit of a target and against losing queued calls. */
  @Test
  void callsAboveTheLimitAreQueuedAndRunLater() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    AtomicInteger running = new AtomicInteger();
    AtomicInteger maxRunning = new AtomicInteger();
    RawTarget target =
        target(
            (head, in, out) -> {
              maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
              await(release);
              running.decrementAndGet();
              RawTarget.write(out, OK);
              return true;
            });
    LoopbackNodes nodes = nodes(60_000);
    DataPath gate = nodes.serving("orders", target.address());
    InetSocketAddress entry = nodes.entry();

    List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      calls.add(send(entry, "/" + i));
    }
    awaitState(nodes, gate, state -> state.admission().queued() > 0);
    assertThat(state(nodes, gate).admission().inFlight()).isEqualTo(64);
    release.countDown();

    for (CompletableFuture<HttpResponse<String>> call : calls) {
      assertThat(call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode()).isIn(200, 503);
    }
    assertThat(maxRunning.get()).isLessThanOrEqualTo(64);
    awaitState(nodes, gate, state -> state.admission().inFlight() == 0);
    assertThat(state(nodes, gate).admission().queued()).isZero();
    assertThat(state(nodes, gate).admission().started()).isGreaterThanOrEqualTo(64);
  }

  /**
   * Guards against sending a call that a node further down would refuse, against a learned level
   * that never expires, and against system headers that reach a client.
   */
  @Test
  void firstNodeRefusesBelowTheLearnedLevelUntilItExpires() throws Exception {
    RawTarget sheddingTarget =
        target(
            (head, in, out) -> {
              RawTarget.write(
                  out, OK.replace("content-length", "arbutus-level: 100.127\r\ncontent-length"));
              return true;
            });
    LoopbackNodes nodes = nodes(5_000);
    nodes.member("orders", sheddingTarget.address());
    InetSocketAddress entry = nodes.entry();

    HttpResponse<String> first = get(entry, "/");
    HttpResponse<String> second = get(entry, "/");

    assertThat(first.statusCode()).isEqualTo(200);
    assertThat(first.headers().map()).doesNotContainKeys("arbutus-level", "arbutus-unused");
    assertThat(second.headers().firstValue("arbutus-result")).contains("103 SHED");
    assertThat(sheddingTarget.heads()).hasSize(1);
    DataPath path = nodes.paths().get(0);
    assertThat(state(nodes, path).learnedLevels())
        .containsExactly(Map.entry("orders0/test/50", "51.0"));
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (get(entry, "/").statusCode() != 200 && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    assertThat(sheddingTarget.heads()).hasSize(2);
  }

  /**
   * Guards against retrying a request that has just crashed a target, against a third target being
   * crashed by it, and against refusing other requests.
   */
  @Test
  void requestThatCrashesTwoTargetsIsRefusedEverywhere() throws Exception {
    LoopbackNodes nodes = nodes(5_000);
    List<RawTarget> targets = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      RawTarget target =
          target(
              (head, in, out) -> {
                boolean survives = !head.startsWith("GET /crash ");
                if (survives) {
                  RawTarget.write(out, OK);
                }
                return survives;
              });
      targets.add(target);
      nodes.serving("orders", target.address());
    }
    InetSocketAddress entry = nodes.entry();

    List<String> results = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      CompletableFuture<HttpResponse<String>> call = send(entry, "/crash");
      while (!call.isDone()) {
        nodes.tick();
      }
      results.add(call.get().headers().firstValue("arbutus-result").orElseThrow());
      awaitDeaths(nodes, Math.min(i + 1, 2));
    }

    assertThat(results)
        .containsExactly(
            "202 TARGET_DIED", "202 TARGET_DIED", "108 FATAL_REQUEST", "108 FATAL_REQUEST");
    assertThat(
            targets.stream()
                .flatMap(target -> target.heads().stream())
                .filter(head -> head.startsWith("GET /crash ")))
        .hasSize(2);
    assertThat(get(entry, "/other").statusCode()).isEqualTo(200);
    OverloadState state = state(nodes, nodes.paths().get(0));
    assertThat(state.fatal().get(0).status()).isEqualTo(FatalEntry.Status.MARKED);
    assertThat(state(nodes, nodes.paths().get(3)).retryDecisions()).isNotEmpty();
  }

  /** Ticks until the nodes have counted that many deaths, and once more to propagate them. */
  private static void awaitDeaths(LoopbackNodes nodes, long deaths) throws Exception {
    long knownDeaths = 0;
    while (knownDeaths < deaths) {
      nodes.tick();
      knownDeaths = 0;
      for (DataPath path : nodes.paths()) {
        knownDeaths += state(nodes, path).deaths();
      }
    }
    nodes.tick();
  }

  /** Guards against orders that wait for a slow claim store and delay calls that need no claim. */
  @Test
  void ordersThatAwaitTheirClaimsHoldNoAdmissionSlot() throws Exception {
    RawTarget target =
        target(
            (head, in, out) -> {
              RawTarget.write(out, OK);
              return true;
            });
    AtomicInteger claims = new AtomicInteger();
    LoopbackNodes nodes =
        closer.register(
            new LoopbackNodes(
                LoopbackNodes.policy(true, 0, 60_000),
                (service, key, deadlineNanos, executor) -> {
                  claims.incrementAndGet();
                  return new CompletableFuture<>();
                }));
    DataPath gate = nodes.serving("orders", target.address());
    InetSocketAddress entry = nodes.entry();
    int orders = 100;

    for (int i = 0; i < orders; i++) {
      HttpRequest order = request(entry, "/" + i).header(ArbutusHeaders.ORDER_KEY, "k" + i).build();
      closer.register(
          cancelOnClose(client.sendAsync(order, HttpResponse.BodyHandlers.discarding())));
    }
    awaitState(nodes, gate, state -> state.admission().started() == orders);

    assertThat(claims.get()).isEqualTo(orders);
    assertThat(state(nodes, gate).admission().inFlight()).isZero();
    assertThat(get(entry, "/").statusCode()).isEqualTo(200);
    assertThat(target.heads()).hasSize(1);
  }

  private static AutoCloseable cancelOnClose(CompletableFuture<?> call) {
    return () -> call.cancel(true);
  }

  /** Guards against metrics that cannot be scraped or that miss a decision. */
  @Test
  void metricsShowTheDecisions() throws Exception {
    RawTarget target =
        target(
            (head, in, out) -> {
              RawTarget.write(out, OK);
              return true;
            });
    LoopbackNodes nodes = nodes(5_000);
    DataPath gate = nodes.serving("orders", target.address());
    assertThat(get(nodes.entry(), "/").statusCode()).isEqualTo(200);
    nodes.tick();
    PrometheusRegistry registry = new PrometheusRegistry();

    gate.register(registry);

    assertThat(registry.scrape().stream().map(snapshot -> snapshot.getMetadata().getName()))
        .contains(
            "arbutus_admission_limit",
            "arbutus_admission_calls",
            "arbutus_retry_decisions",
            "arbutus_fatal_requests");
  }

  private LoopbackNodes nodes(long deadlineMillis) {
    return closer.register(new LoopbackNodes(LoopbackNodes.policy(false, 4, deadlineMillis)));
  }

  private RawTarget target(RawTarget.Script script) throws IOException {
    return closer.register(RawTarget.start(script));
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IOException("the latch was not released");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private static OverloadState state(LoopbackNodes nodes, DataPath path) throws Exception {
    AtomicReference<OverloadState> state = new AtomicReference<>();
    LoopbackNodes.onEventLoop(nodes.listeners().get(0), () -> state.set(path.state().overload()));
    return state.get();
  }

  private static void awaitState(
      LoopbackNodes nodes, DataPath path, Predicate<OverloadState> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.test(state(nodes, path))) {
      assertThat(System.nanoTime()).as("time until the condition holds").isLessThan(deadlineNanos);
    }
  }

  private HttpResponse<String> get(InetSocketAddress entry, String path) throws Exception {
    return send(entry, path).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpResponse<String>> send(InetSocketAddress entry, String path) {
    return client.sendAsync(request(entry, path).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(InetSocketAddress entry, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + Addresses.format(entry) + path))
        .header(ArbutusHeaders.SERVICE, "orders");
  }
}
