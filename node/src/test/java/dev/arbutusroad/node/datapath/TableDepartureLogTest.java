package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.http.EventLoopThread;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a departure that a later process of the node does not know. */
@Timeout(60)
final class TableDepartureLogTest {
  private final Closer closer = new Closer();
  private final EventLoopThread thread = closer.register(EventLoopThread.start("data-path"));
  private final FakeTable table = new FakeTable();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void laterProcessReadsTheLatestDeparture() throws Exception {
    TableDepartureLog log = new TableDepartureLog(table, thread, "n1");
    record(log, new Departure("a", 10));
    record(log, new Departure("b", 20));
    assertThat(read(new TableDepartureLog(table, thread, "n1"))).contains(new Departure("b", 20));
    assertThat(read(new TableDepartureLog(table, thread, "n2"))).isEmpty();
  }

  @Test
  void writeThatTookEffectWithoutAnAnswerIsRepeated() throws Exception {
    table.answersToLose.set(1);
    record(new TableDepartureLog(table, thread, "n1"), new Departure("a", 10));
    assertThat(table.commits).hasValue(2);
    assertThat(read(new TableDepartureLog(table, thread, "n1"))).contains(new Departure("a", 10));
  }

  @Test
  void malformedRowIsIgnored() throws Exception {
    for (String row : new String[] {"", "10", "x a", "99999999999999999999 a"}) {
      table.row = Optional.of(new Row("departure/n1", row, 5));
      assertThat(read(new TableDepartureLog(table, thread, "n1"))).isEmpty();
    }
    record(new TableDepartureLog(table, thread, "n1"), new Departure("a", 10));
    assertThat(read(new TableDepartureLog(table, thread, "n1"))).contains(new Departure("a", 10));
  }

  private void record(TableDepartureLog log, Departure departure) throws Exception {
    CompletableFuture<Void> recorded = new CompletableFuture<>();
    thread.loop().execute(() -> log.record(departure, () -> recorded.complete(null)));
    recorded.get(30, TimeUnit.SECONDS);
  }

  private Optional<Departure> read(TableDepartureLog log) throws Exception {
    CompletableFuture<Optional<Departure>> result = new CompletableFuture<>();
    thread.loop().execute(() -> log.read(result::complete));
    return result.get(30, TimeUnit.SECONDS);
  }

  /** A table with one row. */
  private static final class FakeTable implements TableService {
    private volatile Optional<Row> row = Optional.empty();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicInteger commits = new AtomicInteger();

    @Override
    public CompletableFuture<Either<Failure, Optional<Row>>> get(String key) {
      return CompletableFuture.completedFuture(
          Either.right(row.filter(found -> found.key().equals(key))));
    }

    @Override
    public CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
      commits.incrementAndGet();
      Write write = writes.get(0);
      long version = row.map(Row::version).orElse(Write.ABSENT);
      if (version != write.expectedVersion()) {
        return CompletableFuture.completedFuture(
            Either.right(CommitResult.conflict(List.of(write.key()))));
      }
      row = Optional.of(new Row(write.key(), write.value().orElseThrow(), version + 1));
      if (answersToLose.getAndDecrement() > 0) {
        return CompletableFuture.completedFuture(
            Either.left(Failure.of(ResultCode.PLATFORM_TIMEOUT)));
      }
      return CompletableFuture.completedFuture(Either.right(CommitResult.applied(version + 1)));
    }
  }
}
