package dev.arbutusroad.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationHolder;
import dev.arbutusroad.core.config.ConfigurationParser;
import dev.arbutusroad.core.config.PollInterval;
import dev.arbutusroad.core.membership.AdvertisedConfiguration;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.ConfigurationStore;
import dev.arbutusroad.core.store.ObjectStore;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.node.membership.PeerDocument;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ConfigurationDutyTest {
  private static final InetSocketAddress PEER = new InetSocketAddress(7103);

  private final FakePlatform platform = new FakePlatform();
  private final ConfigurationStore store =
      new ConfigurationStore(platform, platform.objects(), new SplittableRandom(1));
  private final Map<Long, String> peerDocuments = new HashMap<>();
  private final List<Long> adopted = new ArrayList<>();
  private long nowNanos;
  private final ConfigurationDuty duty =
      new ConfigurationDuty(
          new ConfigurationHolder(),
          store,
          this::fetch,
          () -> nowNanos,
          new SplittableRandom(1),
          PollInterval.MIN_NANOS,
          () -> 1,
          configuration -> adopted.add(configuration.version()));

  /** Guards against an applied version that a node doesn't take over within two poll intervals. */
  @Test
  void followsTheStoreAndBecomesUnconfirmedWithoutIt() {
    run(1);
    assertThat(duty.isReady()).isFalse();
    apply(0);
    run(3);
    assertThat(duty.status()).matches(s -> s.version() == 1 && s.ready() && !s.unconfirmed());

    platform.up = false;
    run(7);
    assertThat(duty.isUnconfirmed()).isFalse();
    run(3);
    assertThat(duty.status()).matches(s -> s.unconfirmed() && s.ready() && s.version() == 1);
    assertThat(duty.status().lastProblem()).startsWith("400 ");

    platform.up = true;
    apply(1);
    run(3);
    assertThat(duty.status()).matches(s -> !s.unconfirmed() && s.version() == 2);
    assertThat(adopted).containsExactly(1L, 2L);
  }

  /** Guards against a node that ignores its peers, or trusts an invalid document of one. */
  @Test
  void takesOverPeersDocumentsAndRejectsInvalidOnes() {
    platform.up = false;
    peerDocuments.put(5L, "{\"rules\": []}");
    duty.onPeerVersion("p", PEER, 5, 300);
    run(1);
    assertThat(duty.version()).isEqualTo(5);
    assertThat(duty.document()).contains("{\"rules\": []}");
    assertThat(duty.confirmationAgeMillis()).isBetween(300L, 1_500L);

    peerDocuments.put(6L, "{\"rules\": 1}");
    duty.onPeerVersion("p", PEER, 6, Long.MAX_VALUE);
    run(1);
    assertThat(duty.version()).isEqualTo(5);
    assertThat(duty.status().lastProblem()).contains("SETTINGS_TYPE");
    duty.onPeerVersion("p", PEER, 4, 0);
    duty.onPeerVersion("q", PEER, 9, 0);
    run(1);
    assertThat(duty.version()).as("9 can't be fetched").isEqualTo(5);
    peerDocuments.put(9L, "{\"rules\": []}");
    duty.onPeerVersion("r", PEER, 9, 0);
    run(3);
    duty.onPeerVersion("r", PEER, 9, 0);
    run(1);
    assertThat(duty.version()).isEqualTo(9);
  }

  /** Guards against an outage of peers' statements that fills memory or stops the duty. */
  @Test
  void fullRingDropsTheOldestStatements() {
    for (long version = 1; version <= 5_000; version++) {
      peerDocuments.put(version, "{\"rules\": []}");
      duty.onPeerVersion("p", PEER, version, 0);
    }
    run(1);
    run(3);
    duty.onPeerVersion("p", PEER, 5_000, 0);
    run(1);
    assertThat(duty.version()).isEqualTo(5_000);
  }

  private void run(int seconds) {
    for (int step = 0; step < seconds * 10; step++) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
      duty.step();
    }
  }

  private void apply(long base) {
    String document = "{\"rules\": [], \"defaults\": {\"retries\": " + base + "}}";
    Configuration checked = ConfigurationParser.parse("f", document, 0).get();
    assertThat(store.apply(checked, base, "a", "t", "token" + base).join().isRight()).isTrue();
  }

  private CompletableFuture<Optional<PeerDocument>> fetch(InetSocketAddress peer, long version) {
    String document = peerDocuments.get(version);
    return document == null
        ? CompletableFuture.failedFuture(new IOException("no connection"))
        : CompletableFuture.completedFuture(
            Optional.of(new PeerDocument(new AdvertisedConfiguration(version, 300), document)));
  }

  /** A store in memory that can be unavailable. */
  private static final class FakePlatform implements TableService {
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    boolean up = true;

    private <T> CompletableFuture<Either<Failure, T>> answer(T value) {
      return CompletableFuture.completedFuture(
          up ? Either.right(value) : Either.left(Failure.of(ResultCode.PLATFORM_TIMEOUT)));
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<Row>>> get(String key) {
      return answer(Optional.ofNullable(rows.get(key)));
    }

    @Override
    public CompletableFuture<Either<Failure, List<Row>>> scan(String prefix, int limit) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Either<Failure, CommitResult>> commit(List<Write> writes) {
      writes.forEach(
          w ->
              rows.put(
                  w.key(), new Row(w.key(), w.value().orElseThrow(), w.expectedVersion() + 1)));
      return answer(CommitResult.applied(writes.get(0).expectedVersion() + 1));
    }

    ObjectStore objects() {
      return new ObjectStore() {
        @Override
        public CompletableFuture<Either<Failure, Boolean>> put(String name, byte[] content) {
          objects.put(name, content);
          return answer(true);
        }

        @Override
        public CompletableFuture<Either<Failure, Optional<byte[]>>> get(String name) {
          return answer(Optional.ofNullable(objects.get(name)));
        }
      };
    }
  }
}
