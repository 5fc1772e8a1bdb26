package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.http.EventLoopThread;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Keeps the latest departure in one row of the platform's table, {@code departure/<node>}. The row
 * is read only when it is needed, as each operation of the store is priced.
 */
public final class TableDepartureLog implements DepartureLog {
  private static final String PREFIX = "departure/";
  private static final long RETRY_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_ATTEMPTS = 10;

  private final TableService table;
  private final EventLoopThread thread;
  private final String key;
  private OptionalLong knownVersion = OptionalLong.empty();
  private Optional<Departure> latest = Optional.empty();

  /**
   * Creates a log without reading its row.
   *
   * @param thread the data path's thread, which must make all calls
   */
  public TableDepartureLog(TableService table, EventLoopThread thread, String node) {
    this.table = table;
    this.thread = thread;
    this.key = PREFIX + node;
  }

  @Override
  public void record(Departure departure, Runnable onRecorded) {
    latest = Optional.of(departure);
    attempt(departure, onRecorded, 1);
  }

  @Override
  public void read(Consumer<Optional<Departure>> callback) {
    readRow(row -> callback.accept(row.fold(failure -> Optional.empty(), this::parse)));
  }

  private Optional<Departure> parse(Optional<Row> row) {
    return row.flatMap(found -> Departure.parse(found.value()));
  }

  private void attempt(Departure departure, Runnable onRecorded, int attempt) {
    if (!latest.equals(Optional.of(departure))) {
      return;
    }
    if (knownVersion.isPresent()) {
      commit(departure, onRecorded, attempt);
    } else {
      readRow(
          row -> {
            if (row.isRight()) {
              commit(departure, onRecorded, attempt);
            } else {
              retry(departure, onRecorded, attempt, row.getLeft().toString());
            }
          });
    }
  }

  /** Reads the row and remembers its version. */
  private void readRow(Consumer<Either<Failure, Optional<Row>>> callback) {
    var unused =
        table
            .get(key)
            .thenAccept(
                result ->
                    execute(
                        () -> {
                          result.forEach(
                              row ->
                                  knownVersion =
                                      OptionalLong.of(row.map(Row::version).orElse(Write.ABSENT)));
                          callback.accept(result);
                        }));
  }

  private void commit(Departure departure, Runnable onRecorded, int attempt) {
    Write write = new Write(key, Optional.of(departure.format()), knownVersion.getAsLong());
    var unused =
        table
            .commit(List.of(write))
            .thenAccept(result -> execute(() -> committed(departure, onRecorded, attempt, result)));
  }

  private void committed(
      Departure departure, Runnable onRecorded, int attempt, Either<Failure, CommitResult> result) {
    if (result.isRight() && result.get().applied()) {
      knownVersion = OptionalLong.of(result.get().version());
      onRecorded.run();
      return;
    }
    // The write may have taken effect, or an earlier one took effect late: read the version again.
    knownVersion = OptionalLong.empty();
    retry(
        departure,
        onRecorded,
        attempt,
        result.fold(Failure::toString, conflict -> "the row was changed"));
  }

  private void retry(Departure departure, Runnable onRecorded, int attempt, String reason) {
    if (attempt == MAX_ATTEMPTS) {
      Logger.warn(
          "event=departure_not_recorded target={} reason=\"{}\"", departure.instance(), reason);
    } else {
      var unused =
          thread.after(RETRY_PAUSE_NANOS, () -> attempt(departure, onRecorded, attempt + 1));
    }
  }

  private void execute(Runnable task) {
    thread.loop().execute(task);
  }
}
