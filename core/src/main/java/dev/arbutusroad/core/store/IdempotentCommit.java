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
 * Commits writes idempotently. After a lost answer it reads back the row of the first write and
 * repeats the commit if the read does not show its outcome.
 *
 * <p>The value of the first write must contain a token of the caller, and once written, its row
 * must not be overwritten by other writers. If the read returns the written value, the commit took
 * effect; if it returns a newer row with another value, the commit had no effect. An older row does
 * not show the outcome, because reads may be stale. The commit is then repeated with the same
 * preconditions, so it takes effect at most once.
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
   * Commits writes. The first write must not be a deletion.
   *
   * @return the result, or a failure; after {@code PLATFORM_TIMEOUT} it is unknown whether the
   *     commit took effect
   */
  public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
    if (writes.isEmpty() || writes.get(0).value().isEmpty()) {
      throw new IllegalArgumentException("the first write must carry a value");
    }
    return attempt(List.copyOf(writes), 1, Optional.empty());
  }

  private CompletableFuture<Either<Failure, CommitResult>> attempt(
      List<Write> writes, int attempt, Optional<Failure> earlierTimeout) {
    return table
        .commit(writes)
        .thenCompose(
            outcome -> {
              boolean answerLost =
                  outcome.isLeft() && outcome.getLeft().code() == ResultCode.PLATFORM_TIMEOUT;
              boolean rejected = outcome.isRight() && !outcome.get().applied();
              if (answerLost) {
                return readBack(writes, attempt, outcome.getLeft(), Optional.empty());
              }
              if (earlierTimeout.isPresent() && rejected) {
                return readBack(writes, attempt, earlierTimeout.get(), Optional.of(outcome.get()));
              }
              return CompletableFuture.completedFuture(
                  outcome.isLeft() && earlierTimeout.isPresent()
                      ? Either.left(earlierTimeout.get())
                      : outcome);
            });
  }

  private CompletableFuture<Either<Failure, CommitResult>> readBack(
      List<Write> writes, int attempt, Failure timeout, Optional<CommitResult> rejection) {
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
                    Either.right(rejection.orElse(CommitResult.conflict(List.of(first.key())))));
              }
              if (attempt >= MAX_ATTEMPTS) {
                return CompletableFuture.completedFuture(Either.left(timeout));
              }
              long delayMillis = 1 + random.nextLong(BACKOFF_MILLIS << attempt);
              return CompletableFuture.supplyAsync(
                      () -> writes,
                      CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS))
                  .thenCompose(
                      repeatedWrites -> attempt(repeatedWrites, attempt + 1, Optional.of(timeout)));
            });
  }
}
