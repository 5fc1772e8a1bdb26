package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.OrderKey;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Deletes the claim rows of order keys that are no longer accepted, oldest first.
 *
 * <p>Every node scans at a random time in each interval. A node that finds expired rows deletes
 * them in batches until none is left; a node whose deletion fails, for example by a conflict with
 * another node, stops until its next interval.
 */
final class ClaimPurger {
  static final long INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** A row with an answer takes up to 88 KiB, so a scan of this many rows stays below 3 MiB. */
  private static final int SCAN_LIMIT = 32;

  private static final long BATCH_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final TableService table;
  private final EngineTimers timers;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Executor owner;
  private final ClaimsCounters counters;

  ClaimPurger(
      TableService table,
      EngineTimers timers,
      InstantSource clock,
      RandomGenerator random,
      Executor owner,
      ClaimsCounters counters) {
    this.table = table;
    this.timers = timers;
    this.clock = clock;
    this.random = random;
    this.owner = owner;
    this.counters = counters;
  }

  void start() {
    timers.after(random.nextLong(INTERVAL_NANOS), this::scan);
  }

  private void scan() {
    StoreCalls.deliver(
        table.scan(OrderKey.EXPIRING_ROW_PREFIX, SCAN_LIMIT), owner, this::onScanned);
  }

  private void onScanned(Either<Failure, List<Row>> rows) {
    if (rows.isLeft()) {
      scheduleNextScan();
      return;
    }
    List<Write> deletions =
        rows.get().stream()
            .filter(row -> OrderKey.isPurgeable(row.key(), clock.instant()))
            .map(row -> new Write(row.key(), Optional.empty(), row.version()))
            .toList();
    if (deletions.isEmpty()) {
      scheduleNextScan();
      return;
    }
    StoreCalls.deliver(
        table.commit(deletions), owner, result -> onDeleted(deletions.size(), result));
  }

  private void onDeleted(int rows, Either<Failure, CommitResult> result) {
    if (result.isRight() && result.get().applied()) {
      counters.purged.add(rows);
      timers.after(BATCH_PAUSE_NANOS, this::scan);
    } else {
      scheduleNextScan();
    }
  }

  private void scheduleNextScan() {
    timers.after(INTERVAL_NANOS / 2 + random.nextLong(INTERVAL_NANOS), this::scan);
  }
}
