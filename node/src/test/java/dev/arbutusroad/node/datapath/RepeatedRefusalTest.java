package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.node.claim.NoClaims;
import dev.arbutusroad.platform.PlatformCallProtocol;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a refusal that a target writes once more on a kept connection, and that is taken
 * for the answer to an order that the target runs: the order would run twice, or its caller would
 * be told that it has not run.
 */
@Timeout(120)
final class RepeatedRefusalTest {
  private static final int ORDERS = 60;
  private static final int UNAVAILABLE = 503;

  private final Closer closer = new Closer();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<OutputStream, String> refusals = new ConcurrentHashMap<>();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger repeated = new AtomicInteger();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void refusalWithTheIdOfItsRequest() throws Exception {
    placeOrders(true);
    assertThat(repeated.get()).isPositive();
  }

  @Test
  void refusalWithoutAnId() throws Exception {
    placeOrders(false);
  }

  private void placeOrders(boolean identified) throws Exception {
    LoopbackNodes nodes =
        closer.register(
            new LoopbackNodes(
                LoopbackNodes.policy(true, 1, 20_000), new NoClaims(), new PlatformCallProtocol()));
    RawTarget faulty =
        closer.register(RawTarget.start((head, in, out) -> answerOrRefuse(head, out, identified)));
    RawTarget sound = closer.register(RawTarget.start((head, in, out) -> run(head, out)));
    nodes.serving("orders", faulty.address());
    nodes.serving("orders", sound.address());
    InetSocketAddress entry = nodes.entry();
    for (int i = 0; i < ORDERS; i++) {
      String id = "order" + i;
      int status = place(entry, id);
      int count = runs.getOrDefault(id, new AtomicInteger()).get();
      assertThat(count).as(id).isLessThanOrEqualTo(1);
      if (status == UNAVAILABLE) {
        assertThat(count).as(id + " was refused").isZero();
      }
    }
  }

  /** Refuses each second request; writes the refusal once more before the answer that follows. */
  private boolean answerOrRefuse(String head, OutputStream out, boolean identified) {
    if (requests.getAndIncrement() % 2 == 0) {
      String idLine = identified ? "Request-Id: " + id(head) + "\r\n" : "";
      String refusal =
          "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + idLine + "Content-Length: 0\r\n\r\n";
      refusals.put(out, refusal);
      RawTarget.write(out, refusal);
      return true;
    }
    Optional<String> earlier = Optional.ofNullable(refusals.get(out));
    if (earlier.isPresent()) {
      repeated.incrementAndGet();
      RawTarget.write(out, earlier.orElseThrow());
    }
    return run(head, out);
  }

  private boolean run(String head, OutputStream out) {
    runs.computeIfAbsent(id(head), key -> new AtomicInteger()).incrementAndGet();
    RawTarget.write(
        out,
        "HTTP/1.1 200 OK\r\nRequest-Id: "
            + id(head)
            + "\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\ndone");
    return true;
  }

  private static String id(String head) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("request-id: "))
        .findFirst()
        .orElseThrow()
        .substring("request-id: ".length());
  }

  private int place(InetSocketAddress entry, String id) throws Exception {
    return client
        .send(
            HttpRequest.newBuilder(URI.create("http://" + Addresses.format(entry) + "/" + id))
                .header(ArbutusHeaders.SERVICE, "orders")
                .header("Request-Id", id)
                .POST(HttpRequest.BodyPublishers.ofString("pipes"))
                .build(),
            HttpResponse.BodyHandlers.ofString())
        .statusCode();
  }
}
