package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.tools.history.OrderHistory;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** A simulated node and its target: a claims engine and a gate that can pause or crash. */
final class SimulatedNode {
  private static final long WALL_START_MILLIS =
      Instant.parse("2026-01-31T12:00:00Z").toEpochMilli();

  private final String id;
  private final Simulation simulation;
  private final OrderHistory history;
  private final ClaimsEngine engine;
  private final Executor owner = this::runOnNode;
  final ClaimsCounters counters = new ClaimsCounters();
  private final Deque<Runnable> delayed = new ArrayDeque<>();
  private boolean paused;
  private boolean crashed;

  SimulatedNode(Simulation simulation, SimulatedStore store, OrderHistory history, String id) {
    this.id = id;
    this.simulation = simulation;
    this.history = history;
    this.engine =
        new ClaimsEngine(
            new ClaimsIdentity(id, 1),
            store,
            simulation::now,
            () -> Instant.ofEpochMilli(WALL_START_MILLIS + simulation.now() / 1_000_000),
            simulation.random(),
            owner,
            counters);
  }

  boolean hasId(String nodeId) {
    return id.equals(nodeId);
  }

  boolean isIdle() {
    return engine.isIdle();
  }

  void crash() {
    crashed = true;
  }

  void pause(long nanos) {
    paused = true;
    simulation.after(
        nanos,
        () -> {
          paused = false;
          while (!delayed.isEmpty()) {
            runUnlessDown(delayed.poll());
          }
          scheduleTimers();
        });
  }

  /** Claims and runs an order as the gate does; {@code reply} gets the run state and the answer. */
  void submitOrder(
      long sending, String key, long deadline, BiConsumer<RunState, Optional<String>> reply) {
    runOnNode(
        () -> {
          CompletableFuture<ClaimDecision> future = new CompletableFuture<>();
          var unused =
              future.thenAccept(decision -> onDecision(sending, key, deadline, decision, reply));
          engine.claim("orders", key, deadline, new ClaimReply(future, owner, engine.counters()));
        });
  }

  private void onDecision(
      long sending,
      String key,
      long deadline,
      ClaimDecision decision,
      BiConsumer<RunState, Optional<String>> reply) {
    if (decision instanceof ClaimDecision.Answer recorded) {
      reply.accept(
          RunState.RUN, Optional.of(new String(recorded.answer().body(), StandardCharsets.UTF_8)));
    } else if (decision instanceof ClaimDecision.Refuse refuse) {
      reply.accept(refuse.failure().code().runState(), Optional.empty());
    } else if (decision instanceof ClaimDecision.Run run) {
      schedule(
          simulation.randomBelow(5_000_000),
          () -> send(sending, key, deadline, run.handle(), reply));
    }
  }

  private void send(
      long sending,
      String key,
      long deadline,
      ClaimHandle handle,
      BiConsumer<RunState, Optional<String>> reply) {
    if (simulation.now() >= deadline || simulation.chance(10)) {
      handle.releaseNotRun();
      reply.accept(RunState.NOT_RUN, Optional.empty());
      return;
    }
    String answer = "answer " + sending + " " + simulation.randomBelow(1_000_000);
    history.recordRun(sending, key, Optional.of(answer));
    schedule(
        simulation.randomBelow(200_000_000),
        () -> {
          if (simulation.chance(10)) {
            handle.outcomeUnknown();
            reply.accept(RunState.UNKNOWN, Optional.empty());
            return;
          }
          if (simulation.chance(10)) {
            handle.doneWithoutAnswer();
          } else {
            handle.done(
                RecordedAnswer.of(200, List.of(), answer.getBytes(StandardCharsets.UTF_8))
                    .orElseThrow());
          }
          reply.accept(RunState.RUN, Optional.of(answer));
        });
  }

  private void schedule(long nanos, Runnable task) {
    simulation.after(nanos, () -> runUnlessDown(task));
  }

  private void runOnNode(Runnable task) {
    schedule(simulation.randomBelow(100_000), task);
  }

  private void runUnlessDown(Runnable task) {
    if (crashed) {
      return;
    }
    if (paused) {
      delayed.add(task);
      return;
    }
    task.run();
    engine.runDue();
    scheduleTimers();
  }

  private void scheduleTimers() {
    long delay = engine.untilNextNanos(Long.MAX_VALUE / 4);
    simulation.after(
        delay,
        () -> {
          if (!paused && !crashed) {
            long before = engine.untilNextNanos(1);
            if (before == 0) {
              engine.runDue();
              scheduleTimers();
            }
          }
        });
  }
}
