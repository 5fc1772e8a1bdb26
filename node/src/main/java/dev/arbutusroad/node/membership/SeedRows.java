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
 * Reads and writes the seed rows {@code seed/<domain>/<n>} of the table service, through which
 * members discover each other.
 *
 * <p>The rows are read during the formation of the installation and while no other member is known.
 * The members that {@link SeedRowAssignment} selects as writers also read them each time they write
 * their own, so that groups of members that have not discovered each other merge. A failure of the
 * table service only delays the next attempt.
 */
final class SeedRows {
  private static final long WRITE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Within this time, members that start together have written and read all their rows. */
  private static final long FORMATION_NANOS = TimeUnit.SECONDS.toNanos(12);

  /** Three rows for each of 11 failure domains, and spare rows for renamed domains. */
  private static final int SCAN_LIMIT = 128;

  private final TableService table;
  private final Consumer<List<InetSocketAddress>> onSeedsRead;
  private final Consumer<Runnable> executor;
  private final Map<String, Long> knownVersions = new HashMap<>();
  private final long startedNanos;
  private long nextReadNanos;
  private long nextWriteNanos;
  private boolean readInProgress;

  /**
   * Creates an instance, which must be used by one thread only.
   *
   * @param onSeedsRead receives the addresses that were read, on that thread
   * @param executor runs the completion of a table operation on that thread
   */
  SeedRows(
      TableService table,
      long nowNanos,
      Consumer<List<InetSocketAddress>> onSeedsRead,
      Consumer<Runnable> executor) {
    this.table = table;
    this.onSeedsRead = onSeedsRead;
    this.executor = executor;
    startedNanos = nowNanos;
    nextReadNanos = nowNanos;
    // Delayed by a random time: members that start together must not all write before they have
    // discovered each other.
    nextWriteNanos =
        nowNanos
            + WRITE_INTERVAL_NANOS
            + ThreadLocalRandom.current().nextLong(WRITE_INTERVAL_NANOS);
  }

  /** Starts the reads and writes that are due. Does not block. */
  void step(long nowNanos, MemberView view, Member self) {
    boolean discovering = view.all().size() <= 1 || nowNanos - startedNanos < FORMATION_NANOS;
    if (discovering && !readInProgress && nowNanos - nextReadNanos >= 0) {
      nextReadNanos = nowNanos + READ_INTERVAL_NANOS;
      read();
    }
    if (nowNanos - nextWriteNanos >= 0) {
      nextWriteNanos = nowNanos + WRITE_INTERVAL_NANOS;
      boolean isWriter = false;
      List<Member> writers = SeedRowAssignment.writers(self.failureDomain(), view.all());
      for (int rowIndex = 0; rowIndex < writers.size(); rowIndex++) {
        if (writers.get(rowIndex).id().equals(self.id())) {
          isWriter = true;
          write(SeedRowAssignment.key(self.failureDomain(), rowIndex), formatAddress(self));
        }
      }
      if (isWriter && !readInProgress) {
        read();
      }
    }
  }

  private void read() {
    readInProgress = true;
    var unused =
        table
            .scan(SeedRowAssignment.PREFIX, SCAN_LIMIT)
            .thenAccept(result -> executor.accept(() -> onScanResult(result)));
  }

  private void onScanResult(Either<Failure, List<Row>> result) {
    readInProgress = false;
    if (result.isLeft()) {
      Logger.info("event=seed_read_failed reason=\"{}\"", result.getLeft());
      return;
    }
    // Without any rows, the first ones are written early instead of after the random delay.
    if (result.get().isEmpty() && nextWriteNanos - nextReadNanos > 0) {
      nextWriteNanos = nextReadNanos;
    }
    List<InetSocketAddress> addresses = new ArrayList<>();
    result.get().forEach(row -> parseAddress(row.value()).ifPresent(addresses::add));
    onSeedsRead.accept(addresses);
  }

  /**
   * Replaces a row on condition that it still has the version seen last. If another writer has
   * changed it, that writer's value stays until the next attempt.
   */
  private void write(String key, String value) {
    Long version = knownVersions.get(key);
    if (version == null) {
      var unused =
          table
              .get(key)
              .thenAccept(
                  result ->
                      executor.accept(
                          () ->
                              result.forEach(
                                  current ->
                                      commit(key, value, current.map(Row::version).orElse(0L)))));
    } else {
      commit(key, value, version);
    }
  }

  private void commit(String key, String value, long version) {
    Write write = new Write(key, Optional.of(value), version);
    var unused =
        table
            .commit(List.of(write))
            .thenAccept(result -> executor.accept(() -> onCommitResult(key, result)));
  }

  private void onCommitResult(String key, Either<Failure, CommitResult> result) {
    if (result.isRight() && result.get().applied()) {
      knownVersions.put(key, result.get().version());
      return;
    }
    // The answer was lost or another writer changed the row: the next attempt reads the version.
    knownVersions.remove(key);
    if (result.isLeft()) {
      Logger.info("event=seed_write_failed key={} reason=\"{}\"", key, result.getLeft());
    }
  }

  private static String formatAddress(Member self) {
    InetSocketAddress peer = self.peerAddress();
    return peer.getAddress().getHostAddress() + " " + peer.getPort();
  }

  /** Returns the address in a row, or empty if the row is malformed. */
  private static Optional<InetSocketAddress> parseAddress(String text) {
    String[] parts = text.split(" ", -1);
    // Only literal IP addresses are accepted, so that a row never causes a DNS look-up.
    if (parts.length != 2 || !parts[0].matches("[0-9a-fA-F.:]+[0-9a-fA-F]")) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(parts[1]);
      // Port 0 is valid for a socket address, but nothing can be sent to it.
      return port == 0
          ? Optional.empty()
          : Optional.of(new InetSocketAddress(InetAddress.getByName(parts[0]), port));
    } catch (UnknownHostException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
