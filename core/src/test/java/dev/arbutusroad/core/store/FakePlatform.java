package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** An in-memory platform on which a test chooses the outcome of each commit. */
final class FakePlatform implements TableService {
  enum CommitOutcome {
    ANSWERED,
    /** Takes effect, but the answer is lost. */
    ANSWER_LOST,
    /** Has no effect, and the answer is lost. */
    REQUEST_LOST,
    /** Takes effect after the next commit, and the answer is lost. */
    LATE
  }

  final Deque<CommitOutcome> commitOutcomes = new ArrayDeque<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Map<String, byte[]> objectsByName = new HashMap<>();
  private List<Write> delayedWrites = List.of();
  private long version;

  Optional<Row> row(String key) {
    return Optional.ofNullable(rows.get(key));
  }

  @Override
  public CompletableFuture<Either<Failure, Optional<Row>>> get(String key) {
    return CompletableFuture.completedFuture(Either.right(row(key)));
  }

  @Override
  public CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
    CommitOutcome outcome =
        commitOutcomes.isEmpty() ? CommitOutcome.ANSWERED : commitOutcomes.poll();
    CommitResult result = CommitResult.conflict(List.of());
    if (outcome == CommitOutcome.ANSWERED || outcome == CommitOutcome.ANSWER_LOST) {
      result = apply(writes);
    }
    apply(delayedWrites);
    delayedWrites = outcome == CommitOutcome.LATE ? writes : List.of();
    return CompletableFuture.completedFuture(
        outcome == CommitOutcome.ANSWERED
            ? Either.right(result)
            : Either.left(Failure.of(ResultCode.PLATFORM_TIMEOUT)));
  }

  private CommitResult apply(List<Write> writes) {
    List<String> conflicts =
        writes.stream()
            .filter(w -> row(w.key()).map(Row::version).orElse(0L) != w.expectedVersion())
            .map(Write::key)
            .toList();
    if (conflicts.isEmpty()) {
      version++;
      writes.forEach(w -> rows.put(w.key(), new Row(w.key(), w.value().orElseThrow(), version)));
    }
    return conflicts.isEmpty()
        ? CommitResult.applied(writes.isEmpty() ? 0 : version)
        : CommitResult.conflict(conflicts);
  }

  ObjectStore objects() {
    return new ObjectStore() {
      @Override
      public CompletableFuture<Either<Failure, Boolean>> put(String name, byte[] content) {
        objectsByName.put(name, content);
        return CompletableFuture.completedFuture(Either.right(true));
      }

      @Override
      public CompletableFuture<Either<Failure, Optional<byte[]>>> get(String name) {
        return CompletableFuture.completedFuture(
            Either.right(Optional.ofNullable(objectsByName.get(name))));
      }
    };
  }

  void corrupt(String name) {
    objectsByName.put(name, "{}".getBytes(StandardCharsets.UTF_8));
  }
}
