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

/** Guards against a second run when the node that holds an order's claim dies or is paused. */
final class OrderProcessTest {
  private static final int RUN_MILLIS = 3_000;
  private static final String KEY = "order-1";
  private static final Optional<RunState> RUN = Optional.of(RunState.RUN);
  private static final Optional<String> ANY = Optional.of("run");
  private static final Optional<String> NONE = Optional.empty();

  private final OrderHistory history = new OrderHistory();
  private Installation cluster;
  private Node entry;
  private Node holder;
  private Node other;

  @BeforeEach
  void start(@TempDir Path work) throws Exception {
    cluster = new Installation(work);
    List<Node> nodes = cluster.start(3);
    entry = nodes.get(0);
    holder = nodes.get(1);
    other = nodes.get(2);
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  @Test
  void killedHolderNeverLeadsToASecondRun() throws Exception {
    TargetStandIn first = cluster.target(holder, RUN_MILLIS);
    CompletableFuture<Optional<RunState>> answer = runOn(first);
    holder.kill();
    assertThat(answer.join()).contains(RunState.UNKNOWN);

    TargetStandIn second = cluster.target(other, 10);
    serves(second);
    for (int i = 0; i < 5; i++) {
      assertThat(send(KEY, 1_000).join()).isNotEqualTo(Optional.of(RunState.RUN));
    }
    checkHistory(first, second);
  }

  @Test
  void pausedHolderNeverLeadsToASecondRun() throws Exception {
    TargetStandIn first = cluster.target(holder, RUN_MILLIS);
    CompletableFuture<Optional<RunState>> answer = runOn(first);
    holder.signal("STOP");
    TargetStandIn second = cluster.target(other, 10);
    try {
      serves(second);
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

  /** Sends the order until it runs on the only target, which may not be known everywhere yet. */
  private CompletableFuture<Optional<RunState>> runOn(TargetStandIn target) throws Exception {
    Installation.await("a fresh order runs", () -> send("warm-up", 15_000).join().equals(RUN));
    CompletableFuture<Optional<RunState>> answer = send(KEY, 15_000);
    Installation.await("the order runs", () -> target.runsByOrderKey().containsKey(KEY));
    return answer;
  }

  /** Waits until the target takes orders; each is a new one, as some find no node yet. */
  private void serves(TargetStandIn target) throws Exception {
    int[] sent = {0};
    Installation.await(
        "the other target serves",
        () -> {
          send("probe-" + sent[0]++, 1_000).join();
          return target.runs() > 0;
        });
  }

  private CompletableFuture<Optional<RunState>> send(String key, long deadlineMillis) {
    long sending = history.recordRequest(key);
    return cluster
        .client()
        .sendAsync(
            Installation.order(entry, key, deadlineMillis), HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, error) -> {
              Optional<RunState> state = Optional.ofNullable(response).map(OrderProcessTest::state);
              state.ifPresent(
                  known -> history.recordReply(sending, known, RUN.equals(state) ? ANY : NONE));
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

  /** The targets count runs by key; a run is attributed to the first sending of its key. */
  private void checkHistory(TargetStandIn... targets) {
    int runsOfKey = 0;
    for (TargetStandIn target : targets) {
      runsOfKey += target.runsByOrderKey().getOrDefault(KEY, 0);
      target
          .runsByOrderKey()
          .forEach(
              (key, runs) -> {
                for (int i = 0; i < runs; i++) {
                  history.recordRun(sendingThatRan(key), key, ANY);
                }
              });
    }
    assertThat(runsOfKey).isEqualTo(1);
    assertThat(OrderHistoryChecker.check(history)).isEmpty();
  }

  /** A sending of the key that was not told "not run", if there is one. */
  private long sendingThatRan(String key) {
    List<Long> sendings =
        history.requests().stream()
            .filter(one -> one.orderKey().equals(key))
            .map(OrderHistory.SentRequest::id)
            .toList();
    return sendings.stream()
        .filter(
            id ->
                history.replies().stream()
                    .noneMatch(
                        reply -> reply.requestId() == id && reply.runState() == RunState.NOT_RUN))
        .findFirst()
        .orElse(sendings.get(0));
  }
}
