package dev.arbutusroad.node.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SeedRowsTest {
  private static final InetSocketAddress ADDRESS = Addresses.of("10.1.2.3", 7000);
  private static final Member SELF =
      new Member("one", 1, "", "south", "south-a", ADDRESS, ADDRESS, MemberState.JOINING, 0);

  /** Guards against a node that stops using the seed rows after an outage or a malformed row. */
  @Test
  void rowsAreReadAndWrittenOnceTheTableAnswers() {
    FakeTable table = new FakeTable();
    List<InetSocketAddress> addresses = new ArrayList<>();
    SeedRows rows = new SeedRows(table, 0, addresses::addAll, Runnable::run);

    table.available = false;
    run(rows, 0, 10);
    assertThat(table.rows).isEmpty();

    table.available = true;
    run(rows, 10, 20);
    assertThat(table.rows.get("seed/south-a/0").value()).isEqualTo("10.1.2.3 7000");
    assertThat(addresses).contains(ADDRESS);

    table.rows.put("seed/south-a/0", new Row("seed/south-a/0", "no address", 9));
    run(rows, 20, 120);
    assertThat(table.rows.get("seed/south-a/0").value()).isEqualTo("10.1.2.3 7000");
  }

  /** Guards against one row of another writer that keeps a node from reading the others. */
  @Test
  void oddRowsDoNotHideTheOthers() {
    FakeTable table = new FakeTable();
    String[] odd = {
      "10.1.2.4 70000",
      "10.1.2.4 0",
      "10.1.2.4 -1",
      "10.1.2.4 99999999999999999999",
      "10.1.2.4",
      "host.example 7000",
      "[".repeat(10_000),
      ""
    };
    for (int i = 0; i < odd.length; i++) {
      String key = "seed/south-a/odd" + i;
      table.rows.put(key, new Row(key, odd[i], 1));
    }
    table.rows.put("seed/south-b/0", new Row("seed/south-b/0", "10.1.2.5 7000", 1));
    List<InetSocketAddress> addresses = new ArrayList<>();
    SeedRows rows = new SeedRows(table, 0, addresses::addAll, Runnable::run);

    rows.step(0, new SingleMemberView(), SELF);

    assertThat(addresses).containsExactly(Addresses.of("10.1.2.5", 7000));
  }

  /** Guards against groups of members that start together and never discover each other. */
  @Test
  void rowsAreReadDuringFormationEvenIfAnotherMemberIsKnown() {
    FakeTable table = new FakeTable();
    List<InetSocketAddress> addresses = new ArrayList<>();
    SeedRows rows = new SeedRows(table, 0, addresses::addAll, Runnable::run);
    rows.step(0, new TwoMemberView(), SELF);
    table.rows.put("seed/south-b/0", new Row("seed/south-b/0", "10.1.2.4 7000", 1));

    rows.step(TimeUnit.SECONDS.toNanos(3), new TwoMemberView(), SELF);

    assertThat(addresses).contains(Addresses.of("10.1.2.4", 7000));
  }

  private record TwoMemberView() implements MemberView {
    @Override
    public long revision() {
      return 1;
    }

    @Override
    public List<Member> serving(String service) {
      return List.of();
    }

    @Override
    public List<Member> all() {
      return List.of(SELF, SELF);
    }
  }

  private static void run(SeedRows rows, int fromSecond, int toSecond) {
    for (int second = fromSecond; second < toSecond; second++) {
      rows.step(TimeUnit.SECONDS.toNanos(second), new SingleMemberView(), SELF);
    }
  }

  private record SingleMemberView() implements MemberView {
    @Override
    public long revision() {
      return 1;
    }

    @Override
    public List<Member> serving(String service) {
      return List.of();
    }

    @Override
    public List<Member> all() {
      return List.of(SELF);
    }
  }

  private static final class FakeTable implements TableService {
    private final Map<String, Row> rows = new TreeMap<>();
    private boolean available = true;

    @Override
    public CompletableFuture<Either<Failure, Optional<Row>>> get(String key) {
      return answer(Optional.ofNullable(rows.get(key)));
    }

    @Override
    public CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit) {
      return answer(List.copyOf(rows.values()));
    }

    @Override
    public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
      Write write = writes.get(0);
      long version = Optional.ofNullable(rows.get(write.key())).map(Row::version).orElse(0L);
      if (version != write.expectedVersion()) {
        return answer(CommitResult.conflict(List.of(write.key())));
      }
      rows.put(write.key(), new Row(write.key(), write.value().orElseThrow(), version + 1));
      return answer(CommitResult.applied(version + 1));
    }

    private <T> CompletableFuture<Either<Failure, T>> answer(T value) {
      return CompletableFuture.completedFuture(
          available ? Either.right(value) : Either.left(Failure.of(ResultCode.PLATFORM_TIMEOUT)));
    }
  }
}
