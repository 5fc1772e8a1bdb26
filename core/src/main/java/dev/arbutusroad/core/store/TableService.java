package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table.
 *
 * <p>The futures never complete exceptionally. If a commit fails with {@code PLATFORM_TIMEOUT}, it
 * is unknown whether it took effect.
 */
public interface TableService {
  /** Reads a row; empty if it does not exist. Reads may be stale. */
  CompletableFuture<Either<Failure, Optional<Row>>> get(String key);

  /** Reads at most {@code limit} rows whose keys start with a prefix, sorted by key. */
  CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit);

  /** Applies all writes atomically if every precondition holds, otherwise none. */
  CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes);
}
