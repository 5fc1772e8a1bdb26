package dev.arbutusroad.node.claim;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.claim.ClaimRow;
import dev.arbutusroad.core.claim.ClaimRowJson;
import dev.arbutusroad.core.claim.OrderKey;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.tools.history.OrderHistory;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ClaimsEngineTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Simulation simulation = new Simulation(1);
  private final SimulatedStore store = new SimulatedStore(simulation);

  /**
   * Guards against rows that are purged while their key is accepted, and rows that are never
   * purged.
   */
  @Test
  void onlyExpiredRowsArePurged() {
    // The simulated wall clock starts at 2026-01-31T12:16:40Z.
    List<String> kept = List.of("20260129T120000Z-1", "20260131T110000Z-1", "without-a-time");
    kept.forEach(this::insert);
    for (int i = 0; i < 100; i++) {
      insert("20260129T" + (i % 2 == 0 ? "09" : "10") + "0000Z-" + i);
    }
    SimulatedNode node = new SimulatedNode(simulation, store, new OrderHistory(), "node");
    node.submitOrder(
        1, "starts-the-timers", simulation.now() + SECOND_NANOS, (state, answer) -> {});
    simulation.runUntil(simulation.now() + TimeUnit.MINUTES.toNanos(20));

    assertThat(node.counters.values()).containsEntry("claim_rows_purged", 100L);
    for (String key : kept) {
      assertThat(store.table.get(rowKey(key), 0)).as(key).isPresent();
    }
  }

  /** Guards against orders that fail because another order in the same commit meets a conflict. */
  @Test
  void conflictOfOneClaimDoesNotAffectTheOthers() {
    insert("order-3");
    SimulatedNode node = new SimulatedNode(simulation, store, new OrderHistory(), "node");
    List<RunState> states = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      long deadline = simulation.now() + 2 * SECOND_NANOS;
      node.submitOrder(i, "order-" + i, deadline, (state, answer) -> states.add(state));
    }
    simulation.runUntil(simulation.now() + 5 * SECOND_NANOS);

    assertThat(node.counters.values())
        .containsEntry("claims_run", 9L)
        .containsEntry("claim_conflicts", 1L)
        .containsEntry("claims_refused", 1L);
    assertThat(states).hasSize(10);
  }

  /** Guards against unbounded memory and blocked callers while the claims thread is blocked. */
  @Test
  void fullRingRejectsOrdersAsNotRun() throws Exception {
    CountDownLatch entered = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    ClaimsDuty duty =
        ClaimsDuty.start(
            new ClaimsIdentity("node", 1), new BlockingTable(entered, release), Ticker.system());
    long deadline = System.nanoTime() + 60 * SECOND_NANOS;
    var unused = duty.claim("orders", "key", deadline, Runnable::run);
    entered.await();
    for (int i = 0; i < ClaimsDuty.RING_CAPACITY; i++) {
      unused = duty.claim("orders", "key-" + i, deadline, Runnable::run);
    }
    ClaimDecision last = duty.claim("orders", "last", deadline, Runnable::run).join();
    assertThat(((ClaimDecision.Refuse) last).failure().code())
        .isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    assertThat(duty.counters().values().get("claims_rejected_ring_full")).isEqualTo(1);
    release.countDown();
    duty.close();
  }

  private void insert(String key) {
    String value = ClaimRowJson.encode(ClaimRow.started("token", "another-node", 1));
    store.table.commit(List.of(Write.insert(rowKey(key), value)));
  }

  private static String rowKey(String key) {
    return OrderKey.parse(key).get().rowKey("orders");
  }

  /**
   * A table that violates its contract: commits block the caller until the latch is released. Every
   * operation fails.
   */
  private record BlockingTable(CountDownLatch entered, CountDownLatch release)
      implements TableService {
    @Override
    public CompletableFuture<Either<Failure, Optional<Row>>> get(String key) {
      return refused();
    }

    @Override
    public CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit) {
      return refused();
    }

    @Override
    public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
      entered.countDown();
      try {
        release.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return refused();
    }

    private static <T> CompletableFuture<Either<Failure, T>> refused() {
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.PLATFORM_CIRCUIT_OPEN)));
    }
  }
}
