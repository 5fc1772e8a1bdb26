package dev.arbutusroad.node.configuration;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.ChangeFeed;
import dev.arbutusroad.core.store.ChangeFeed.Changes;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Follows the feed of the configuration's table and asks for a read of the configuration whenever
 * something has changed there, or may have changed while the feed was broken.
 */
public final class ConfigurationWatch implements AutoCloseable {
  /** The platform holds an answer for at most 30 s; a shorter wait finds silent connections. */
  private static final long WAIT_MILLIS = 10_000;

  private static final long RETRY_MILLIS = 1_000;

  private final ChangeFeed feed;
  private final String table;
  private final Runnable onChange;
  private long version;
  private boolean broken;
  private volatile boolean closed;

  /** A watch that has not started. */
  public ConfigurationWatch(ChangeFeed feed, String table, Runnable onChange) {
    this.feed = feed;
    this.table = table;
    this.onChange = onChange;
  }

  /** Starts to follow the feed. */
  public void start() {
    restart();
  }

  /** Steps follow each other, so that one thread at a time uses the state. */
  private void restart() {
    if (!closed) {
      var unused = feed.newestVersion(table).thenAccept(this::restarted);
    }
  }

  /** Changes up to the newest version show in a read that starts now, later ones in the feed. */
  private void restarted(Either<Failure, Long> newest) {
    if (newest.isLeft()) {
      lost(newest.getLeft(), this::restart);
      return;
    }
    version = newest.get();
    onChange.run();
    next();
  }

  private void next() {
    if (!closed) {
      var unused = feed.changes(table, version, WAIT_MILLIS).thenAccept(this::changed);
    }
  }

  private void changed(Either<Failure, Changes> answer) {
    if (answer.isLeft()) {
      lost(answer.getLeft(), this::next);
      return;
    }
    if (broken) {
      Logger.info("event=configuration_feed_regained version={}", version);
      broken = false;
    }
    Changes changes = answer.get();
    if (changes.version().isEmpty()) {
      Logger.info("event=configuration_feed_restarted after={}", version);
      restart();
      return;
    }
    version = changes.version().orElseThrow();
    if (!changes.rows().isEmpty()) {
      onChange.run();
    }
    next();
  }

  private void lost(Failure failure, Runnable step) {
    if (!broken) {
      Logger.warn("event=configuration_feed_lost reason=\"{}\"", failure);
    }
    broken = true;
    onChange.run();
    CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS, Runnable::run)
        .execute(step);
  }

  @Override
  public void close() {
    closed = true;
  }
}
