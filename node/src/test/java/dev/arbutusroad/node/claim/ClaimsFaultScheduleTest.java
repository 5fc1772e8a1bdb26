package dev.arbutusroad.node.claim;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.claim.ClaimRowJson;
import dev.arbutusroad.core.claim.ClaimState;
import dev.arbutusroad.core.claim.OrderKey;
import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.tools.history.OrderHistory;
import dev.arbutusroad.tools.history.OrderHistoryChecker;
import dev.arbutusroad.tools.history.OrderViolation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against running an order twice, reporting "not run" for an order that ran, and leaving a
 * claim unsettled, under random schedules of two faults at a time, pauses, crashes and resends to
 * any node.
 */
final class ClaimsFaultScheduleTest {
  private static final int SCHEDULES = 400;
  private static final int NODES = 4;
  private static final int ORDERS = 40;
  private static final long FAULTY_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(60);

  @Test
  void randomFaultSchedulesCauseNoViolation() {
    String fixed = System.getProperty("arbutusroad.seed");
    long first = fixed == null ? System.nanoTime() : Long.parseLong(fixed);
    Map<String, Long> counts = new TreeMap<>();
    for (long seed = first; seed < first + (fixed == null ? SCHEDULES : 1); seed++) {
      Schedule schedule = new Schedule(seed, false);
      schedule.run();
      assertThat(schedule.violations()).as("-Darbutusroad.seed=%d", seed).isEmpty();
      schedule.allNodes.forEach(
          node ->
              node.counters
                  .values()
                  .forEach((name, count) -> counts.merge(name, count, Long::sum)));
    }
    if (fixed == null) {
      // The test is meaningful only if some schedule reaches each of these paths.
      for (String name : List.of("claims_abandoned", "claims_answered", "claim_conflicts")) {
        assertThat(counts.get(name)).as(name).isPositive();
      }
    }
  }

  @Test
  void storeThatIgnoresPreconditionsIsDetected() {
    List<OrderViolation.Kind> found = new ArrayList<>();
    for (long seed = 1; seed <= 20; seed++) {
      Schedule schedule = new Schedule(seed, true);
      schedule.run();
      OrderHistoryChecker.check(schedule.history).forEach(violation -> found.add(violation.kind()));
    }
    assertThat(found).contains(OrderViolation.Kind.RAN_TWICE);
  }

  private static final class Schedule {
    private final Simulation simulation;
    private final SimulatedStore store;
    private final OrderHistory history = new OrderHistory();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<SimulatedNode> allNodes = new ArrayList<>();
    private final List<String> otherViolations = new ArrayList<>();
    private final long end;

    Schedule(long seed, boolean ignorePreconditions) {
      simulation = new Simulation(seed);
      store = new SimulatedStore(simulation);
      store.ignorePreconditions = ignorePreconditions;
      for (int i = 0; i < NODES; i++) {
        addNode();
      }
      end = simulation.now() + FAULTY_NANOS;
    }

    private void addNode() {
      SimulatedNode node = new SimulatedNode(simulation, store, history, "node-" + allNodes.size());
      nodes.add(node);
      allNodes.add(node);
    }

    void run() {
      for (int i = 0; i < ORDERS; i++) {
        String key = (simulation.chance(50) ? "20260131T120000Z-" : "order-") + i;
        simulation.after(simulation.randomBelow(FAULTY_NANOS), () -> send(key, 5));
      }
      nextFault();
      simulation.runUntil(end);
      store.clearFaults();
      simulation.runUntil(end + QUIET_NANOS);
      for (SimulatedNode node : nodes) {
        if (!node.isIdle()) {
          otherViolations.add("a node is not idle after the faults");
        }
      }
      resendAll();
    }

    List<Object> violations() {
      List<Object> violations = new ArrayList<>(OrderHistoryChecker.check(history));
      violations.addAll(otherViolations);
      return violations;
    }

    /**
     * Resends every order to a healthy store, and checks that each gets a reply and that no live
     * node has left its claim unsettled.
     */
    private void resendAll() {
      history.requests().stream()
          .map(OrderHistory.SentRequest::orderKey)
          .distinct()
          .forEach(
              key -> {
                String rowKey = OrderKey.parse(key).get().rowKey("orders");
                store
                    .table
                    .get(rowKey, 0)
                    .map(row -> ClaimRowJson.decode(row.value()).get())
                    .filter(row -> row.state() == ClaimState.STARTED)
                    .filter(row -> nodes.stream().anyMatch(node -> node.hasId(row.node())))
                    .ifPresent(row -> otherViolations.add(key + " was left unsettled as " + row));
                long sending = history.recordRequest(key);
                boolean[] replied = {false};
                nodes
                    .get(0)
                    .submitOrder(
                        sending,
                        key,
                        simulation.now() + TimeUnit.SECONDS.toNanos(2),
                        (state, answer) -> {
                          replied[0] = true;
                          history.recordReply(sending, state, answer);
                        });
                simulation.runUntil(simulation.now() + TimeUnit.SECONDS.toNanos(4));
                if (!replied[0]) {
                  otherViolations.add(key + " got no reply from a healthy node");
                }
              });
    }

    private void send(String key, int attemptsLeft) {
      SimulatedNode node = nodes.get(simulation.random().nextInt(nodes.size()));
      long sending = history.recordRequest(key);
      long deadline = simulation.now() + 200_000_000 + simulation.randomBelow(2_000_000_000L);
      boolean answerLost = simulation.chance(20);
      boolean[] settled = {false};
      node.submitOrder(
          sending,
          key,
          deadline,
          (state, answer) -> {
            if (!answerLost) {
              settled[0] = state == RunState.RUN;
              history.recordReply(sending, state, answer);
            }
          });
      if (attemptsLeft > 1) {
        // A caller resends after a failure or a missing reply, sometimes before the first call
        // ends.
        simulation.after(
            1_000_000 + simulation.randomBelow(3_000_000_000L),
            () -> {
              if (!settled[0]) {
                send(key, attemptsLeft - 1);
              }
            });
      }
    }

    private void nextFault() {
      simulation.after(
          simulation.randomBelow(1_000_000_000L),
          () -> {
            if (simulation.now() < end) {
              store.clearFaults();
              inject();
              inject();
              nextFault();
            }
          });
    }

    private void inject() {
      SimulatedNode node = nodes.get(simulation.random().nextInt(nodes.size()));
      switch (simulation.random().nextInt(9)) {
        case 0 -> store.down = true;
        case 1 -> store.slow = true;
        case 2 -> store.dropAnswers = true;
        case 3 -> store.staleReads = true;
        case 4 -> store.spuriousConflicts = true;
        case 5, 6 -> node.pause(simulation.randomBelow(4_000_000_000L));
        case 7 -> {
          if (nodes.size() > 2) {
            node.crash();
            nodes.remove(node);
            addNode();
          }
        }
        default -> {}
      }
    }
  }
}
