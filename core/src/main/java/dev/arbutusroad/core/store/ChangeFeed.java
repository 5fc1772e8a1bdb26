package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Long reads of what changes in a table of the platform. */
public interface ChangeFeed {
  /**
   * Waits for a change of a table. The future never completes exceptionally.
   *
   * @param table the first segment of the keys concerned
   * @param afterVersion changes up to this version are known
   * @param waitMillis how long the platform holds its answer while there is no change
   */
  CompletableFuture<Either<Failure, Changes>> changes(
      String table, long afterVersion, long waitMillis);

  /**
   * The newest version of a table, from which a feed can start. A read that is sent after this has
   * been answered sees every change up to it. The future never completes exceptionally.
   */
  CompletableFuture<Either<Failure, Long>> newestVersion(String table);

  /**
   * What has changed.
   *
   * @param rows the changed rows in order; a deleted row has an empty value
   * @param version where to continue; empty when the platform has dropped that part of its history
   */
  record Changes(List<Row> rows, Optional<Long> version) {
    public Changes {
      rows = List.copyOf(rows);
    }
  }
}
