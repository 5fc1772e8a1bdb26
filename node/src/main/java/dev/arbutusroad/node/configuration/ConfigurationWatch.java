package dev.arbutusroad.node.configuration;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.ChangeFeed;
import dev.arbutusroad.core.store.ChangeFeed.Changes;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Follows the change feed of the configuration table and requests a read of the configuration when
 * a row has changed, or may have changed while the feed was unavailable.
 */
public final class ConfigurationWatch implements AutoCloseable {
  /**
   * How long the platform may hold a request of the feed open. The platform allows 30 s; a shorter
   * wait detects dead connections earlier.
   */
  private static final long LONG_POLL_MILLIS = 10_000;

  private static final long RETRY_DELAY_MILLIS = 1_000;

  private final ChangeFeed feed;
  private final String table;
  private final Runnable onChange;
  private long version;
  private boolean feedLost;
  private volatile boolean closed;

  /** Creates a watch without starting it. */
  public ConfigurationWatch(ChangeFeed feed, String table, Runnable onChange) {
    this.feed = feed;
    this.table = table;
    this.onChange = onChange;
  }

  /** Starts following the feed. */
  public void start() {
    startFromNewestVersion();
  }

  /**
   * Follows the feed from the newest version of the table. Each step is started by the completion
   * of the one before, so only one thread at a time accesses the state.
   */
  private void startFromNewestVersion() {
    if (!closed) {
      var unused = feed.newestVersion(table).thenAccept(this::onNewestVersion);
    }
  }

  /**
   * Requests a read, which covers changes up to the newest version, and follows the feed for later
   * changes.
   */
  private void onNewestVersion(Either<Failure, Long> newest) {
    if (newest.isLeft()) {
      onFeedFailure(newest.getLeft(), this::startFromNewestVersion);
      return;
    }
    version = newest.get();
    onChange.run();
    requestChanges();
  }

  private void requestChanges() {
    if (!closed) {
      var unused = feed.changes(table, version, LONG_POLL_MILLIS).thenAccept(this::onChanges);
    }
  }

  private void onChanges(Either<Failure, Changes> answer) {
    if (answer.isLeft()) {
      onFeedFailure(answer.getLeft(), this::requestChanges);
      return;
    }
    if (feedLost) {
      Logger.info("event=configuration_feed_regained version={}", version);
      feedLost = false;
    }
    Changes changes = answer.get();
    if (changes.version().isEmpty()) {
      Logger.info("event=configuration_feed_restarted after={}", version);
      startFromNewestVersion();
      return;
    }
    version = changes.version().orElseThrow();
    if (!changes.rows().isEmpty()) {
      onChange.run();
    }
    requestChanges();
  }

  private void onFeedFailure(Failure failure, Runnable retry) {
    if (!feedLost) {
      Logger.warn("event=configuration_feed_lost reason=\"{}\"", failure);
    }
    feedLost = true;
    onChange.run();
    CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, Runnable::run)
        .execute(retry);
  }

  @Override
  public void close() {
    closed = true;
  }
}
