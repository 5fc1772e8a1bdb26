package dev.arbutusroad.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.ChangeFeed;
import dev.arbutusroad.core.store.Row;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class ConfigurationWatchTest {
  private final FakeFeed feed = new FakeFeed();
  private int reads;
  private final ConfigurationWatch watch = new ConfigurationWatch(feed, "op", () -> reads++);

  /** Guards against a change without a read, and against reads without a change. */
  @Test
  void requestsAReadAfterEachChangeAndContinuesFromThere() {
    feed.newest = 4;
    watch.start();
    assertThat(reads).as("changes before the start").isEqualTo(1);
    feed.answer(Either.right(new ChangeFeed.Changes(List.of(new Row("op/c", "x", 5)), some(7))));
    assertThat(reads).isEqualTo(2);
    feed.answer(Either.right(new ChangeFeed.Changes(List.of(), some(9))));
    assertThat(reads).isEqualTo(2);
    assertThat(feed.requestedVersions).containsExactly(4L, 7L, 9L);
  }

  /** Guards against missing changes that occur while the feed is unavailable. */
  @Test
  void requestsAReadWhenTheFeedIsLost() {
    watch.start();
    feed.answer(Either.left(Failure.of(ResultCode.PLATFORM_TIMEOUT)));
    assertThat(reads).isEqualTo(2);
  }

  /** Guards against requesting history forever that the store has already dropped. */
  @Test
  void continuesFromTheNewestVersionAfterLostHistory() {
    watch.start();
    feed.newest = 12;
    feed.answer(Either.right(new ChangeFeed.Changes(List.of(), Optional.empty())));
    assertThat(reads).isEqualTo(2);
    assertThat(feed.requestedVersions).containsExactly(0L, 12L);
  }

  private static Optional<Long> some(long version) {
    return Optional.of(version);
  }

  private static final class FakeFeed implements ChangeFeed {
    private final List<Long> requestedVersions = new ArrayList<>();
    private long newest;
    private CompletableFuture<Either<Failure, Changes>> pending;

    @Override
    public CompletableFuture<Either<Failure, Changes>> changes(
        String table, long afterVersion, long waitMillis) {
      requestedVersions.add(afterVersion);
      pending = new CompletableFuture<>();
      return pending;
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> newestVersion(String table) {
      return CompletableFuture.completedFuture(Either.right(newest));
    }

    void answer(Either<Failure, Changes> answer) {
      pending.complete(answer);
    }
  }
}
