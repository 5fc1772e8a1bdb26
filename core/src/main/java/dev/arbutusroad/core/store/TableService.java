package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table.
 *
 * <p>The futures never complete exceptionally. A failure with {@code PLATFORM_TIMEOUT} on a commit
 * leaves open whether the commit took effect.
 */
public interface TableService {
  /** Reads one row. */
  CompletableFuture<Either<Failure, Optional<Row>>> get(String key);

  /** Reads the rows whose keys start with a prefix, sorted by key, at most {@code limit}. */
  CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit);

  /** Applies all writes if every precondition holds, else none. */
  CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes);
}
