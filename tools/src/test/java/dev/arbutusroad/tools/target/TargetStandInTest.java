package dev.arbutusroad.tools.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.tools.http.Bodies;
import dev.arbutusroad.tools.http.Headers;
import dev.arbutusroad.tools.http.HttpEndpoints;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class TargetStandInTest {
  private static final int TIMEOUT_SECONDS = 20;

  private final Closer closer = new Closer();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /**
   * Guards against bodies that do not match their digest and truncated answers without an error.
   */
  @Test
  void bodiesMatchTheirDigestAndTruncatedAnswerFails() throws Exception {
    HttpClient client = start(TargetOptions.of("drawings"));
    byte[] scan = "scan".repeat(50_000).getBytes(StandardCharsets.UTF_8);

    HttpResponse generated = call(client, client.get("/plan?bytes=100000"));
    HttpResponse echoed =
        call(
            client,
            client
                .post("/scan")
                .addHeader(Headers.DIGEST, Bodies.digest(scan))
                .payloadBody(client.executionContext().bufferAllocator().wrap(scan)));

    assertThat(bytes(generated)).hasSize(100_000);
    for (HttpResponse response : List.of(generated, echoed, call(client, client.get("/plan")))) {
      assertThat(response.headers().get(Headers.DIGEST))
          .hasToString(Bodies.digest(bytes(response)));
    }
    change("{\"cutPath\":\"/plan\"}");
    assertThatThrownBy(() -> call(client, client.get("/plan?bytes=100000")))
        .isInstanceOf(ExecutionException.class);
  }

  /** Guards against "not run" answers to requests that ran and against a wrong count of runs. */
  @Test
  void refusedAndExpiredRequestsAreNotRun() throws Exception {
    HttpClient client =
        start(
            TargetOptions.of("orders")
                .withBehaviour(
                    TargetBehaviour.defaults()
                        .with("{\"slots\":1,\"queueLimit\":1,\"serviceMillis\":60000}")));
    Future<HttpResponse> running = client.request(order(client, "running")).toFuture();
    awaitRuns(1);
    HttpRequest expiring = order(client, "expiring").addHeader(Headers.DEADLINE_MILLIS, "200");
    Future<HttpResponse> waiting = client.request(expiring).toFuture();

    HttpResponse expired = waiting.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(expired.status().code()).isEqualTo(504);
    assertThat(expired.headers().get(Headers.NOT_RUN)).hasToString("true");
    change("{\"queueLimit\":0}");
    HttpResponse refused = call(client, order(client, "refused"));
    assertThat(refused.status().code()).isEqualTo(503);
    assertThat(refused.headers().get(Headers.NOT_RUN)).hasToString("true");
    running.cancel(true);
    change("{\"serviceMillis\":0,\"queueLimit\":64}");
    assertThat(call(client, order(client, "later")).status().code()).isEqualTo(200);
    assertThat(call(client, order(client, "later")).status().code()).isEqualTo(200);
    assertThat(target.runsByOrderKey())
        .containsOnlyKeys("running", "later")
        .containsEntry("later", 2);
  }

  /** Guards against child calls without the call token and against missing announcements. */
  @Test
  void announcesItselfAndCallsChildServicesThroughTheExit() throws Exception {
    BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    StreamingHttpService exit =
        (context, request, responses) -> {
          seen.add(
              "%s %s %s"
                  .formatted(
                      request.headers().get("host"),
                      request.path(),
                      request.headers().get(Headers.CALL)));
          return Single.succeeded(responses.ok());
        };
    HttpServerContext node =
        closer.register(HttpEndpoints.serve(HttpEndpoints.parse("127.0.0.1:0"), exit));
    HttpClient client =
        start(
            TargetOptions.of("planner")
                .withExit((InetSocketAddress) node.listenAddress(), List.of("drawings", "zoning")));

    assertThat(take(seen)).isEqualTo("localhost /arbutus/announce null");
    assertThat(call(client, client.get("/plan").addHeader(Headers.CALL, "token")).status().code())
        .isEqualTo(200);
    target.leave();

    assertThat(seen)
        .containsSubsequence(
            "drawings /from/planner token",
            "zoning /from/planner token",
            "localhost /arbutus/leave null");
  }

  private TargetStandIn target;

  private HttpClient start(TargetOptions options) throws IOException {
    target = closer.register(TargetStandIn.start(options));
    return closer.register(HttpEndpoints.client(target.address()).asClient());
  }

  private void change(String json) throws Exception {
    HttpClient control = closer.register(HttpEndpoints.client(target.controlAddress()).asClient());
    HttpResponse response =
        call(
            control,
            control
                .put("/control")
                .payloadBody(control.executionContext().bufferAllocator().fromUtf8(json)));
    assertThat(response.status().code()).isEqualTo(200);
  }

  private void awaitRuns(int count) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (target.runs() < count && System.nanoTime() - endNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertThat(target.runs()).isEqualTo(count);
  }

  private static HttpRequest order(HttpClient client, String key) {
    return client.post("/order").addHeader(Headers.ORDER_KEY, key);
  }

  private static HttpResponse call(HttpClient client, HttpRequest request) throws Exception {
    return client.request(request).toFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static String take(BlockingQueue<String> queue) throws InterruptedException {
    return queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static byte[] bytes(HttpResponse response) {
    byte[] bytes = new byte[response.payloadBody().readableBytes()];
    response.payloadBody().getBytes(response.payloadBody().readerIndex(), bytes);
    return bytes;
  }
}
