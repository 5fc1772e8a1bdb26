package dev.arbutusroad.tools.platform;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.ChangeFeed;
import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.IdempotentCommit;
import dev.arbutusroad.core.store.PlatformClientSettings;
import dev.arbutusroad.core.store.PlatformMetrics;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.platform.PlatformClient;
import dev.arbutusroad.tools.platform.PlatformFault.Kind;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a client that misreports whether an operation took effect after a fault. */
final class PlatformStandInTest {
  private static final PlatformClientSettings SETTINGS =
      new PlatformClientSettings(30_000, 10_000, 2, 2, 2);
  private static final PlatformClientSettings SHORT_TIMEOUT_SETTINGS =
      new PlatformClientSettings(1_000, 1_000, 1, 2, 2);
  private static final String KEY = "claim/t 1/ä%+";

  private PlatformStandIn standIn;
  private PlatformClient client;

  @BeforeEach
  void start() throws Exception {
    standIn = PlatformStandIn.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    client = new PlatformClient(standIn.address(), SETTINGS, PlatformMetrics.NONE, Ticker.system());
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    standIn.close();
  }

  @Test
  void commitsAreAtomicAndConditional() {
    assertThat(commit(Write.insert(KEY, "a"), Write.insert("z", "1")).get().applied()).isTrue();
    assertThat(client.get(KEY).join().get()).contains(new Row(KEY, "a", 1));
    CommitResult refused = commit(Write.replace(KEY, "b", 1), Write.insert("z", "2")).get();
    assertThat(refused).isEqualTo(CommitResult.conflict(List.of("z")));
    assertThat(client.scan("claim/", 5).join().get()).containsExactly(new Row(KEY, "a", 1));
    assertThat(commit(new Write(KEY, Optional.empty(), 1)).get().applied()).isTrue();
    assertThat(client.get(KEY).join().get()).isEmpty();
    byte[] content = {0, 1, -1};
    assertThat(client.objects().put("config/x", content).join().get()).isTrue();
    assertThat(client.objects().get("config/x").join().get()).hasValue(content);
    assertThat(client.objects().get("config/y").join().get()).isEmpty();
  }

  @Test
  void commitWithALostAnswerTimesOutAndTakesEffect() throws Exception {
    standIn.setFaults(List.of(new PlatformFault(Kind.DROP_ANSWER, 0, 0, 1)));
    assertThat(code(commit(Write.insert(KEY, "a")))).isEqualTo(ResultCode.PLATFORM_TIMEOUT);
    assertThat(client.get(KEY).join().get()).isPresent();
    try (PlatformClient shortTimeoutClient =
        new PlatformClient(
            standIn.address(), SHORT_TIMEOUT_SETTINGS, PlatformMetrics.NONE, Ticker.system())) {
      // Opens the connection, so that the commit is sent before the client times out.
      Awaiting.await(() -> shortTimeoutClient.get(KEY).join().isRight());
      standIn.setFaults(List.of(new PlatformFault(Kind.SLOW, 60_000, 0, 1)));
      List<Write> write = List.of(Write.insert("k2", "a"));
      assertThat(code(shortTimeoutClient.commit(write).join()))
          .isEqualTo(ResultCode.PLATFORM_TIMEOUT);
    }
    // The request may still be in transit when the client times out.
    Awaiting.await(() -> standIn.store().get("k2", 0).isPresent());
  }

  @Test
  void idempotentCommitResolvesLostAnswersDespiteOldReads() {
    IdempotentCommit idempotentCommit = new IdempotentCommit(client, new SplittableRandom(1));
    standIn.setFaults(
        List.of(
            new PlatformFault(Kind.DROP_ANSWER, 0, 0, 2),
            new PlatformFault(Kind.OLD_READS, 60_000, 0, 2)));
    List<Write> first = List.of(Write.insert(KEY, "token-1"), Write.insert("z", "token-1"));
    assertThat(idempotentCommit.commit(first).join().get().applied()).isTrue();
    standIn.setFaults(List.of(new PlatformFault(Kind.DROP_ANSWER, 0, 0, 1)));
    List<Write> other = List.of(Write.insert(KEY, "token-2"));
    assertThat(idempotentCommit.commit(other).join().get().applied()).isFalse();
    assertThat(client.get(KEY).join().get()).contains(new Row(KEY, "token-1", 1));
  }

  @Test
  void oldReadsAndSpuriousConflictsAreReturnedUnchanged() {
    standIn.setFaults(
        List.of(
            new PlatformFault(Kind.OLD_READS, 60_000, 0, 1),
            new PlatformFault(Kind.SPURIOUS_CONFLICT, 0, 0, 1)));
    assertThat(commit(Write.insert(KEY, "a")).get().conflicts()).containsExactly(KEY);
    assertThat(commit(Write.insert(KEY, "a")).get().applied()).isTrue();
    assertThat(client.get(KEY).join().get()).isEmpty();
    assertThat(client.get(KEY).join().get()).isPresent();
  }

  @Test
  void singleDroppedReadIsRetried() {
    standIn.setFaults(List.of(new PlatformFault(Kind.DOWN, 0, 0, 1)));
    assertThat(client.get(KEY).join().isRight()).isTrue();
  }

  @Test
  void outageOpensTheCircuitAndRecoveryClosesIt() throws Exception {
    standIn.setFaults(List.of(new PlatformFault(Kind.DOWN, 0, 0, 0)));
    ResultCode last = null;
    for (int i = 0; i < 20 && last != ResultCode.PLATFORM_CIRCUIT_OPEN; i++) {
      last = code(client.get(KEY).join());
    }
    assertThat(last).isEqualTo(ResultCode.PLATFORM_CIRCUIT_OPEN);
    standIn.setFaults(List.of());
    Awaiting.await(() -> client.get(KEY).join().isRight());
  }

  @Test
  void fullQueueRefusesAtOnce() {
    standIn.setFaults(List.of(new PlatformFault(Kind.SLOW, 60_000, 0, 0)));
    List<CompletableFuture<Either<Failure, Optional<Row>>>> started =
        IntStream.range(0, 5).mapToObj(i -> client.get(KEY + i)).toList();
    assertThat(started.get(4)).isCompleted();
    assertThat(code(started.get(4).join())).isEqualTo(ResultCode.PLATFORM_QUEUE_FULL);
  }

  @Test
  void commitOnARefusedConnectionIsReportedAsRefused() throws Exception {
    standIn.close();
    assertThat(code(commit(Write.insert(KEY, "a")))).isEqualTo(ResultCode.PLATFORM_REFUSED);
  }

  /** Guards against a refusal that is reported as an unknown outcome, and the reverse. */
  @Test
  void refusedCommitsHaveNoEffectAndLateCommitsTimeOut() throws Exception {
    standIn.setFaults(List.of(new PlatformFault(Kind.REFUSE, 0, 0, 1)));
    assertThat(code(commit(Write.insert(KEY, "a")))).isEqualTo(ResultCode.PLATFORM_REFUSED);
    standIn.setFaults(List.of(new PlatformFault(Kind.OVER_RATE, 0, 0, 1)));
    assertThat(code(commit(Write.insert(KEY, "a")))).isEqualTo(ResultCode.PLATFORM_REFUSED);
    assertThat(client.get(KEY).join().get()).isEmpty();
    standIn.setFaults(List.of(new PlatformFault(Kind.LATE_WRITE, 50, 0, 1)));
    assertThat(code(commit(Write.insert(KEY, "a")))).isEqualTo(ResultCode.PLATFORM_TIMEOUT);
    Awaiting.await(() -> client.get(KEY).join().get().isPresent());
  }

  /** Guards against a missed change and against a feed that does not report lost history. */
  @Test
  void feedReportsChangesAndLostHistory() {
    CompletableFuture<Either<Failure, ChangeFeed.Changes>> pending =
        client.changes("claim", 0, 30_000);
    assertThat(commit(Write.insert("other/x", "a")).get().applied()).isTrue();
    assertThat(commit(Write.insert(KEY, "a")).get().applied()).isTrue();
    ChangeFeed.Changes changes = pending.join().get();
    assertThat(changes.rows()).containsExactly(new Row(KEY, "a", 2));
    assertThat(changes.version()).contains(2L);
    assertThat(client.changes("claim", 2, 0).join().get().rows()).isEmpty();
    standIn.setFaults(List.of(new PlatformFault(Kind.FORGET, 0, 0, 1)));
    assertThat(client.changes("claim", 1, 0).join().get().version()).isEmpty();
    assertThat(client.newestVersion("claim").join().get()).isEqualTo(2);
  }

  private Either<Failure, CommitResult> commit(Write... writes) {
    return client.commit(List.of(writes)).join();
  }

  private static ResultCode code(Either<Failure, ?> outcome) {
    return outcome.isLeft() ? outcome.getLeft().code() : null;
  }
}
