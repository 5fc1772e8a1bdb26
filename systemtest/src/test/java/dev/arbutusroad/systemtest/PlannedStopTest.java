package dev.arbutusroad.systemtest;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.systemtest.Installation.Node;
import dev.arbutusroad.tools.target.TargetStandIn;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a node that accepts orders late in its planned stop, passes them on, and is gone
 * before their answers.
 */
final class PlannedStopTest {
  private static final int NODES = 3;
  private static final int CLIENTS = 12;
  private static final int SERVICE_MILLIS = 1_200;

  private Installation installation;
  private Node stopped;
  private List<TargetStandIn> targets;

  /** The node that is stopped has no target, as a target ends before its node. */
  @BeforeEach
  void start(@TempDir Path work) throws Exception {
    installation = new Installation(work);
    List<Node> nodes = installation.start(NODES);
    stopped = nodes.get(0);
    targets =
        List.of(
            installation.target(nodes.get(1), SERVICE_MILLIS),
            installation.target(nodes.get(2), SERVICE_MILLIS));
  }

  @AfterEach
  void stop() throws Exception {
    installation.close();
  }

  /** The clients go on until the process is gone, on kept connections and on new ones. */
  @Test
  void ordersThatArriveLateAreAnsweredOrDoNotRun() throws Exception {
    List<PersistentOrders> clients = PersistentOrders.start(stopped, CLIENTS);
    Installation.await(
        "answers to all clients",
        () -> clients.stream().allMatch(client -> client.answered().size() >= 2));
    stopped.terminate();
    assertThat(stopped.process().waitFor(60, TimeUnit.SECONDS)).isTrue();
    assertThat(stopped.process().exitValue()).isZero();
    for (PersistentOrders client : clients) {
      client.join();
    }
    Map<String, Integer> runs = new HashMap<>();
    for (TargetStandIn target : targets) {
      target.runsByOrderKey().forEach((key, count) -> runs.merge(key, count, Integer::sum));
    }
    for (PersistentOrders client : clients) {
      assertThat(runs).as("cut off without an answer").doesNotContainKeys(client.cut());
      assertThat(runs).as("refused as not run").doesNotContainKeys(client.refused());
      assertThat(runs).as("answered").containsKeys(client.answeredKeys());
    }
    assertThat(runs.values()).as("runs of an order").containsOnly(1);
  }
}
