package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.membership.SeedRowAssignment;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The rows {@code seed/<domain>/<n>} of the table service.
 *
 * <p>They are read while the installation forms, while no other member is known, and by the members
 * that {@link SeedRowAssignment} picks, each time they write their own. So groups of members that
 * have not found each other merge. Failures of the table only delay the next attempt.
 */
final class SeedRows {
  private static final long WRITE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long READ_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Members that start together have written and read all their rows within this time. */
  private static final long FORMING_NANOS = TimeUnit.SECONDS.toNanos(12);

  /** Three rows for each of 11 failure domains, and room for domains that were renamed. */
  private static final int SCAN_LIMIT = 128;

  private final TableService table;
  private final Consumer<List<InetSocketAddress>> found;
  private final Consumer<Runnable> executor;
  private final Map<String, Long> versions = new HashMap<>();
  private final long startedNanos;
  private long nextReadNanos;
  private long nextWriteNanos;
  private boolean reading;

  /**
   * Rows that are accessed on one thread.
   *
   * @param found takes the addresses that were read, on that thread
   * @param executor runs the completion of a table operation on that thread
   */
  SeedRows(
      TableService table,
      long nowNanos,
      Consumer<List<InetSocketAddress>> found,
      Consumer<Runnable> executor) {
    this.table = table;
    this.found = found;
    this.executor = executor;
    startedNanos = nowNanos;
    nextReadNanos = nowNanos;
    // Members that start together must not all write before they have found each other.
    nextWriteNanos =
        nowNanos
            + WRITE_INTERVAL_NANOS
            + ThreadLocalRandom.current().nextLong(WRITE_INTERVAL_NANOS);
  }

  /** Starts the reads and writes that are due. */
  void step(long nowNanos, MemberView view, Member self) {
    boolean searching = view.all().size() <= 1 || nowNanos - startedNanos < FORMING_NANOS;
    if (searching && !reading && nowNanos - nextReadNanos >= 0) {
      nextReadNanos = nowNanos + READ_RETRY_NANOS;
      read();
    }
    if (nowNanos - nextWriteNanos >= 0) {
      nextWriteNanos = nowNanos + WRITE_INTERVAL_NANOS;
      boolean writes = false;
      List<Member> writers = SeedRowAssignment.writers(self.failureDomain(), view.all());
      for (int row = 0; row < writers.size(); row++) {
        if (writers.get(row).id().equals(self.id())) {
          writes = true;
          write(SeedRowAssignment.key(self.failureDomain(), row), text(self));
        }
      }
      if (writes && !reading) {
        read();
      }
    }
  }

  private void read() {
    reading = true;
    var unused =
        table
            .scan(SeedRowAssignment.PREFIX, SCAN_LIMIT)
            .thenAccept(result -> executor.accept(() -> takeScan(result)));
  }

  private void takeScan(Either<Failure, List<Row>> result) {
    reading = false;
    if (result.isLeft()) {
      Logger.info("event=seed_read_failed reason=\"{}\"", result.getLeft());
      return;
    }
    if (result.get().isEmpty() && nextWriteNanos - nextReadNanos > 0) {
      nextWriteNanos = nextReadNanos;
    }
    List<InetSocketAddress> addresses = new ArrayList<>();
    result.get().forEach(row -> address(row.value()).ifPresent(addresses::add));
    found.accept(addresses);
  }

  /** Replaces a row under the version that was seen last; another writer's row wins for now. */
  private void write(String key, String value) {
    Long version = versions.get(key);
    if (version == null) {
      var unused =
          table
              .get(key)
              .thenAccept(
                  result ->
                      executor.accept(
                          () ->
                              result.forEach(
                                  row -> commit(key, value, row.map(Row::version).orElse(0L)))));
    } else {
      commit(key, value, version);
    }
  }

  private void commit(String key, String value, long version) {
    Write write = new Write(key, Optional.of(value), version);
    var unused =
        table
            .commit(List.of(write))
            .thenAccept(result -> executor.accept(() -> takeCommit(key, result)));
  }

  private void takeCommit(String key, Either<Failure, CommitResult> result) {
    if (result.isRight() && result.get().applied()) {
      versions.put(key, result.get().version());
      return;
    }
    // A lost answer or another writer: the version is read again at the next attempt.
    versions.remove(key);
    if (result.isLeft()) {
      Logger.info("event=seed_write_failed key={} reason=\"{}\"", key, result.getLeft());
    }
  }

  private static String text(Member self) {
    InetSocketAddress peer = self.peerAddress();
    return peer.getAddress().getHostAddress() + " " + peer.getPort();
  }

  /** The address in a row, or empty when the row is malformed. */
  private static Optional<InetSocketAddress> address(String text) {
    String[] parts = text.split(" ", -1);
    // Only literal addresses are accepted, so that a row never causes a name look-up.
    if (parts.length != 2 || !parts[0].matches("[0-9a-fA-F.:]+[0-9a-fA-F]")) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(parts[1]);
      return Optional.of(new InetSocketAddress(InetAddress.getByName(parts[0]), port));
    } catch (UnknownHostException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
