package dev.arbutusroad.systemtest;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.systemtest.Installation.Node;
import dev.arbutusroad.tools.history.OrderHistory;
import dev.arbutusroad.tools.history.OrderHistoryChecker;
import dev.arbutusroad.tools.target.TargetStandIn;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a second run after the node that holds an order's claim is killed or paused. */
final class OrderProcessTest {
  private static final int RUN_MILLIS = 3_000;
  private static final String KEY = "order-1";
  private static final Optional<RunState> RUN = Optional.of(RunState.RUN);
  private static final Optional<String> RUN_ANSWER = Optional.of("run");
  private static final Optional<String> NO_ANSWER = Optional.empty();

  private final OrderHistory history = new OrderHistory();
  private Installation installation;
  private Node entry;
  private Node holder;
  private Node other;

  @BeforeEach
  void start(@TempDir Path work) throws Exception {
    installation = new Installation(work);
    List<Node> nodes = installation.start(3);
    entry = nodes.get(0);
    holder = nodes.get(1);
    other = nodes.get(2);
  }

  @AfterEach
  void stop() throws Exception {
    installation.close();
  }

  @Test
  void orderRunsOnceAlthoughItsHolderIsKilled() throws Exception {
    TargetStandIn first = installation.target(holder, RUN_MILLIS);
    CompletableFuture<Optional<RunState>> answer = startOrder(first);
    holder.kill();
    assertThat(answer.join()).contains(RunState.UNKNOWN);

    TargetStandIn second = installation.target(other, 10);
    awaitServing(second);
    for (int i = 0; i < 5; i++) {
      assertThat(send(KEY, 1_000).join()).isNotEqualTo(Optional.of(RunState.RUN));
    }
    checkHistory(first, second);
  }

  @Test
  void orderRunsOnceAlthoughItsHolderIsPaused() throws Exception {
    TargetStandIn first = installation.target(holder, RUN_MILLIS);
    CompletableFuture<Optional<RunState>> answer = startOrder(first);
    holder.signal("STOP");
    TargetStandIn second = installation.target(other, 10);
    try {
      awaitServing(second);
      for (int i = 0; i < 3; i++) {
        assertThat(send(KEY, 1_000).join()).isNotEqualTo(Optional.of(RunState.RUN));
      }
    } finally {
      holder.signal("CONT");
    }
    answer.join();
    for (int i = 0; i < 3; i++) {
      send(KEY, 2_000).join();
    }
    checkHistory(first, second);
  }

  /** Sends the order and waits until it runs on the only target, once the entry node knows it. */
  private CompletableFuture<Optional<RunState>> startOrder(TargetStandIn target) throws Exception {
    Installation.await("a warm-up order runs", () -> send("warm-up", 15_000).join().equals(RUN));
    CompletableFuture<Optional<RunState>> answer = send(KEY, 15_000);
    Installation.await("the order runs", () -> target.runsByOrderKey().containsKey(KEY));
    return answer;
  }

  /** Waits until the target runs an order; sends new ones, as the first may find no target. */
  private void awaitServing(TargetStandIn target) throws Exception {
    int[] sent = {0};
    Installation.await(
        "the other target serves",
        () -> {
          send("probe-" + sent[0]++, 1_000).join();
          return target.runs() > 0;
        });
  }

  private CompletableFuture<Optional<RunState>> send(String key, long deadlineMillis) {
    long requestId = history.recordRequest(key);
    return installation
        .client()
        .sendAsync(
            Installation.order(entry, key, deadlineMillis), HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, error) -> {
              Optional<RunState> state = Optional.ofNullable(response).map(OrderProcessTest::state);
              state.ifPresent(
                  runState ->
                      history.recordReply(
                          requestId, runState, RUN.equals(state) ? RUN_ANSWER : NO_ANSWER));
              return state;
            });
  }

  private static RunState state(HttpResponse<String> response) {
    return response
        .headers()
        .firstValue("arbutus-run")
        .map(run -> run.equals("not-run") ? RunState.NOT_RUN : RunState.UNKNOWN)
        .orElse(response.statusCode() == 200 ? RunState.RUN : RunState.UNKNOWN);
  }

  /** Checks the history. The targets count runs by key; a run is attributed to one request. */
  private void checkHistory(TargetStandIn... targets) {
    int runsOfKey = 0;
    for (TargetStandIn target : targets) {
      runsOfKey += target.runsByOrderKey().getOrDefault(KEY, 0);
      target
          .runsByOrderKey()
          .forEach(
              (key, runs) -> {
                for (int i = 0; i < runs; i++) {
                  history.recordRun(requestThatRan(key), key, RUN_ANSWER);
                }
              });
    }
    assertThat(runsOfKey).isEqualTo(1);
    assertThat(OrderHistoryChecker.check(history)).isEmpty();
  }

  /** Returns the first request of the key without the reply "not run", else its first request. */
  private long requestThatRan(String key) {
    List<Long> requestIds =
        history.requests().stream()
            .filter(request -> request.orderKey().equals(key))
            .map(OrderHistory.SentRequest::id)
            .toList();
    return requestIds.stream()
        .filter(
            id ->
                history.replies().stream()
                    .noneMatch(
                        reply -> reply.requestId() == id && reply.runState() == RunState.NOT_RUN))
        .findFirst()
        .orElse(requestIds.get(0));
  }
}
