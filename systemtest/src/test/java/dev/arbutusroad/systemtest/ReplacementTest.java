package dev.arbutusroad.systemtest;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.systemtest.Installation.Node;
import dev.arbutusroad.tools.platform.PlatformFault;
import dev.arbutusroad.tools.target.TargetStandIn;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that fail when a node or target is replaced or the store is down. */
final class ReplacementTest {
  private static final int NODES = 3;
  private static final int SERVICE_MILLIS = 20;
  private static final String SECOND_VERSION =
      "{ \"rules\": [], \"defaults\": { \"importance\": 30, \"retries\": 2, \"deadlineMs\": 9000 } }";

  private Installation installation;
  private List<Node> nodes;
  private List<TargetStandIn> targets;

  @BeforeEach
  void start(@TempDir Path work) throws Exception {
    installation = new Installation(work);
    nodes = new ArrayList<>(installation.start(NODES));
    targets = new ArrayList<>();
    for (Node node : nodes) {
      targets.add(installation.target(node, SERVICE_MILLIS));
    }
  }

  @AfterEach
  void stop() throws Exception {
    installation.close();
  }

  @Test
  void rollingReplacementCausesNoWrongOrTruncatedAnswer() throws Exception {
    awaitTargets();
    try (SteadyCalls calls = SteadyCalls.start(nodes, 8)) {
      for (int i = 0; i < NODES; i++) {
        Node replacement = installation.startNode();
        TargetStandIn target = installation.target(replacement, SERVICE_MILLIS);
        Installation.await("calls on the new target", () -> target.runs() > 0);
        calls.add(replacement);
        replace(nodes.get(i), targets.get(i));
      }
      long answeredAfterReplacement = calls.answered();
      Installation.await(
          "answers after the last replacement",
          () -> calls.answered() > answeredAfterReplacement + 100);
      assertThat(calls.failures()).isEmpty();
    }
  }

  @Test
  void leavingTargetGetsNoNewCallsAndLosesNone() throws Exception {
    awaitTargets();
    try (SteadyCalls calls = SteadyCalls.start(nodes, 8)) {
      TargetStandIn leaving = targets.get(0);
      leaving.leave();
      long answeredAfterLeave = calls.answered();
      Installation.await("more answers", () -> calls.answered() > answeredAfterLeave + 200);
      long runs = leaving.runs();
      long answeredBeforeCount = calls.answered();
      Installation.await("still more answers", () -> calls.answered() > answeredBeforeCount + 200);
      assertThat(leaving.runs()).isEqualTo(runs);
      assertThat(calls.failures()).isEmpty();
    }
  }

  /** Guards against a stalled caller that keeps a node running until it is killed. */
  @Test
  void stalledCallerDoesNotDelayTheStopBeyondTheDrainLimit() throws Exception {
    awaitTargets();
    Node node = nodes.get(0);
    try (Socket stalled = new Socket(InetAddress.getLoopbackAddress(), node.caller().getPort())) {
      stalled
          .getOutputStream()
          .write(
              "POST /p HTTP/1.1\r\nHost: orders\r\nContent-Length: 9\r\n\r\nhalf"
                  .getBytes(StandardCharsets.US_ASCII));
      Installation.await(
          "the call in progress",
          () -> installation.dump(node).contains("\"callsInProgress\" : 1"));
      long stopNanos = System.nanoTime();
      node.terminate();
      assertThat(node.process().waitFor(60, TimeUnit.SECONDS)).isTrue();
      // The drain limit is 8 s. Waiting for the connection's last bytes would add 10 s.
      assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - stopNanos)).isLessThan(12);
    }
  }

  @Test
  void acceptedVersionReachesEveryNodeDuringAStoreOutage() throws Exception {
    installation.apply(SECOND_VERSION, 1);
    Installation.await("one node with the version", () -> count("\"version\" : 2") > 0);
    installation.platform().setFaults(List.of(new PlatformFault(PlatformFault.Kind.DOWN, 0, 0, 0)));
    Installation.await("the version on every node", () -> count("\"version\" : 2") == NODES);

    Node restarted = installation.startNode();
    assertThat(installation.dump(restarted)).contains("\"version\" : 2");
  }

  private void awaitTargets() throws Exception {
    Installation.await("every node has joined", () -> count("\"state\" : \"JOINING\"") == 0);
  }

  private long count(String text) throws Exception {
    long found = 0;
    for (Node node : nodes) {
      found += installation.dump(node).contains(text) ? 1 : 0;
    }
    return found;
  }

  private static void replace(Node node, TargetStandIn target) throws Exception {
    target.leave();
    node.terminate();
    assertThat(node.process().waitFor(60, TimeUnit.SECONDS)).isTrue();
    assertThat(node.process().exitValue()).isZero();
    target.close();
  }
}
