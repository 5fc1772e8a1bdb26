package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.tools.platform.PlatformStore;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A store in virtual time whose faults the simulation switches on and off. */
final class SimulatedStore implements TableService {
  private static final long CLIENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long MAX_FAULTY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Simulation simulation;
  final PlatformStore table;
  boolean ignorePreconditions;

  boolean down;
  boolean slow;
  boolean dropAnswers;
  boolean staleReads;
  boolean spuriousConflicts;

  SimulatedStore(Simulation simulation) {
    this.simulation = simulation;
    this.table = new PlatformStore(simulation::now);
  }

  void clearFaults() {
    down = slow = dropAnswers = staleReads = spuriousConflicts = false;
  }

  @Override
  public CompletableFuture<Either<Failure, Optional<Row>>> get(String key) {
    long age = staleReads && simulation.chance(50) ? simulation.randomBelow(2_000_000_000L) : 0;
    return operation(false, () -> table.get(key, age));
  }

  @Override
  public CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit) {
    return operation(false, () -> table.scan(prefix, limit, 0));
  }

  @Override
  public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
    return operation(true, () -> applyCommit(writes));
  }

  private CommitResult applyCommit(List<Write> writes) {
    if (spuriousConflicts && simulation.chance(30)) {
      return CommitResult.conflict(
          simulation.chance(50) ? List.of() : List.of(writes.get(0).key()));
    }
    if (!ignorePreconditions) {
      return table.commit(writes);
    }
    long version = 0;
    for (Write write : writes) {
      long expected = table.get(write.key(), 0).map(Row::version).orElse(Write.ABSENT);
      version = table.commit(List.of(new Write(write.key(), write.value(), expected))).version();
    }
    return CommitResult.applied(version);
  }

  private <T> CompletableFuture<Either<Failure, T>> operation(boolean write, Supplier<T> effect) {
    CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
    if (down && simulation.chance(70)) {
      boolean refused = simulation.chance(50);
      simulation.after(
          refused ? 1_000_000 : CLIENT_TIMEOUT_NANOS,
          () ->
              result.complete(
                  Either.left(
                      Failure.of(
                          refused
                              ? ResultCode.PLATFORM_CIRCUIT_OPEN
                              : ResultCode.PLATFORM_TIMEOUT))));
      return result;
    }
    // A slow or failing store may apply a write long after its client has timed out.
    long maxDelayNanos = slow || down ? MAX_FAULTY_DELAY_NANOS : 5_000_000;
    boolean answerLost = write && dropAnswers && simulation.chance(50);
    simulation.after(
        simulation.randomBelow(maxDelayNanos),
        () -> {
          T value = effect.get();
          if (!answerLost) {
            simulation.after(
                simulation.randomBelow(2_000_000), () -> result.complete(Either.right(value)));
          }
        });
    simulation.after(
        CLIENT_TIMEOUT_NANOS,
        () -> result.complete(Either.left(Failure.of(ResultCode.PLATFORM_TIMEOUT))));
    return result;
  }
}
