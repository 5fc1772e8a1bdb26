package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads the changes of a platform table by long polling. */
public interface ChangeFeed {
  /**
   * Waits for a change of a table. The future never completes exceptionally.
   *
   * @param table the table, which is the first segment of its keys
   * @param afterVersion the version up to which the caller knows all changes
   * @param waitMillis how long the platform delays its answer, in milliseconds, if there is no
   *     change
   */
  CompletableFuture<Either<Failure, Changes>> changes(
      String table, long afterVersion, long waitMillis);

  /**
   * Returns the newest version of a table, at which a feed can start. A read sent after this answer
   * sees every change up to that version. The future never completes exceptionally.
   */
  CompletableFuture<Either<Failure, Long>> newestVersion(String table);

  /**
   * The changes of a table after a version.
   *
   * @param rows the changed rows in order of change; a deleted row has an empty value
   * @param version the version from which to continue; empty if the platform no longer keeps that
   *     part of its history
   */
  record Changes(List<Row> rows, Optional<Long> version) {
    public Changes {
      rows = List.copyOf(rows);
    }
  }
}
