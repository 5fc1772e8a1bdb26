package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Commits writes whose values carry the caller's own token, and repeats a commit whose answer was
 * lost after a read of its first row.
 *
 * <p>The read decides when it shows the written value, or a newer row of somebody else, as the
 * first row must be one that nobody else overwrites. An older row decides nothing, as reads may be
 * old: the commit is then repeated under the same preconditions, so it takes effect at most once.
 */
public final class IdempotentCommit {
  private static final int MAX_ATTEMPTS = 4;
  private static final long BACKOFF_MILLIS = 30;

  private final TableService table;
  private final RandomGenerator random;

  public IdempotentCommit(TableService table, RandomGenerator random) {
    this.table = table;
    this.random = random;
  }

  /**
   * Commits writes; the first must not be a deletion.
   *
   * @return the decided result, or the failure of the last attempt; {@code PLATFORM_TIMEOUT} leaves
   *     open whether the commit took effect
   */
  public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
    if (writes.isEmpty() || writes.get(0).value().isEmpty()) {
      throw new IllegalArgumentException("the first write must carry a value");
    }
    return attempt(List.copyOf(writes), 1, Optional.empty());
  }

  private CompletableFuture<Either<Failure, CommitResult>> attempt(
      List<Write> writes, int attempt, Optional<Failure> earlierLoss) {
    return table
        .commit(writes)
        .thenCompose(
            outcome -> {
              boolean lost =
                  outcome.isLeft() && outcome.getLeft().code() == ResultCode.PLATFORM_TIMEOUT;
              boolean refused = outcome.isRight() && !outcome.get().applied();
              if (lost) {
                return readBack(writes, attempt, outcome.getLeft(), Optional.empty());
              }
              if (earlierLoss.isPresent() && refused) {
                return readBack(writes, attempt, earlierLoss.get(), Optional.of(outcome.get()));
              }
              return CompletableFuture.completedFuture(
                  outcome.isLeft() && earlierLoss.isPresent()
                      ? Either.left(earlierLoss.get())
                      : outcome);
            });
  }

  private CompletableFuture<Either<Failure, CommitResult>> readBack(
      List<Write> writes, int attempt, Failure loss, Optional<CommitResult> refusal) {
    Write first = writes.get(0);
    return table
        .get(first.key())
        .thenCompose(
            read -> {
              Optional<Row> row = read.isRight() ? read.get() : Optional.empty();
              if (row.map(Row::value).equals(first.value())) {
                return CompletableFuture.completedFuture(
                    Either.right(CommitResult.applied(row.orElseThrow().version())));
              }
              if (row.isPresent() && row.get().version() > first.expectedVersion()) {
                return CompletableFuture.completedFuture(
                    Either.right(refusal.orElse(CommitResult.conflict(List.of(first.key())))));
              }
              if (attempt >= MAX_ATTEMPTS) {
                return CompletableFuture.completedFuture(Either.left(loss));
              }
              long delayMillis = 1 + random.nextLong(BACKOFF_MILLIS << attempt);
              return CompletableFuture.supplyAsync(
                      () -> writes,
                      CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS))
                  .thenCompose(again -> attempt(again, attempt + 1, Optional.of(loss)));
            });
  }
}
