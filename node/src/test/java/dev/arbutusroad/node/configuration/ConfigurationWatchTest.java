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

  /** Guards against a change that no read follows, and against reads without a change. */
  @Test
  void requestsAReadAfterEachChangeAndContinuesFromThere() {
    feed.newest = 4;
    watch.start();
    assertThat(reads).as("changes before the start").isEqualTo(1);
    feed.answer(Either.right(new ChangeFeed.Changes(List.of(new Row("op/c", "x", 5)), v(7))));
    assertThat(reads).isEqualTo(2);
    feed.answer(Either.right(new ChangeFeed.Changes(List.of(), v(9))));
    assertThat(reads).isEqualTo(2);
    assertThat(feed.after).containsExactly(4L, 7L, 9L);
  }

  /** Guards against changes that are missed while the feed is broken. */
  @Test
  void requestsAReadWhenTheFeedIsLost() {
    watch.start();
    feed.answer(Either.left(Failure.of(ResultCode.PLATFORM_TIMEOUT)));
    assertThat(reads).isEqualTo(2);
  }

  /** Guards against a feed that asks for ever for history that the store has dropped. */
  @Test
  void continuesFromTheNewestVersionAfterLostHistory() {
    watch.start();
    feed.newest = 12;
    feed.answer(Either.right(new ChangeFeed.Changes(List.of(), Optional.empty())));
    assertThat(reads).isEqualTo(2);
    assertThat(feed.after).containsExactly(0L, 12L);
  }

  private static Optional<Long> v(long version) {
    return Optional.of(version);
  }

  private static final class FakeFeed implements ChangeFeed {
    private final List<Long> after = new ArrayList<>();
    private long newest;
    private CompletableFuture<Either<Failure, Changes>> open;

    @Override
    public CompletableFuture<Either<Failure, Changes>> changes(
        String table, long afterVersion, long waitMillis) {
      after.add(afterVersion);
      open = new CompletableFuture<>();
      return open;
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> newestVersion(String table) {
      return CompletableFuture.completedFuture(Either.right(newest));
    }

    void answer(Either<Failure, Changes> answer) {
      open.complete(answer);
    }
  }
}
