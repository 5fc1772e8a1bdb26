package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.ClaimRowJson;
import dev.arbutusroad.core.claim.ClaimRules.ReadRow;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Reads claim rows and passes the decoded results to the thread that owns the claims. */
final class ClaimRowReader {
  private final TableService table;
  private final Executor owner;

  ClaimRowReader(TableService table, Executor owner) {
    this.table = table;
    this.owner = owner;
  }

  void read(String rowKey, Consumer<Either<Failure, Optional<ReadRow>>> callback) {
    StoreCalls.deliver(
        table.get(rowKey),
        owner,
        result -> callback.accept(result.flatMap(ClaimRowReader::decode)));
  }

  private static Either<Failure, Optional<ReadRow>> decode(Optional<Row> row) {
    return row.isEmpty()
        ? Either.right(Optional.empty())
        : ClaimRowJson.decode(row.get().value())
            .map(value -> Optional.of(new ReadRow(value, row.get().version())));
  }
}
