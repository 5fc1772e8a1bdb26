package dev.arbutusroad.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationParser;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class ConfigurationStoreTest {
  private final FakePlatform platform = new FakePlatform();
  private final ConfigurationStore store =
      new ConfigurationStore(platform, platform.objects(), new SplittableRandom(1));

  /** Guards against a lost answer reported as a failure, and against an overwritten edit. */
  @Test
  void conflictingEditIsRejectedAfterALostAnswer() {
    assertThat(apply("first", 0, 1).get().version()).isEqualTo(1);
    platform.commitOutcomes.add(FakePlatform.CommitOutcome.ANSWER_LOST);

    assertThat(apply("anna", 1, 2).get().version()).isEqualTo(2);
    Failure rejected = apply("berta", 1, 3).getLeft();

    assertThat(rejected.code()).isEqualTo(ResultCode.CONFIGURATION_CONFLICT);
    assertThat(rejected.detail()).contains("based on version 1", "version 2 by anna");
    assertThat(store.readCurrent().join().get().orElseThrow().document()).isEqualTo(document(2));
    assertThat(store.history(9).join().get().stream().map(VersionEntry::author))
        .containsExactly("anna", "first");
  }

  /** Guards against documents that differ from the applied ones. */
  @Test
  void missingVersionAndModifiedDocumentAreRejected() {
    assertThat(store.readCurrent().join().get()).isEmpty();
    VersionEntry first = apply("anna", 0, 1).get();
    assertThat(store.read(2).join().getLeft().code()).isEqualTo(ResultCode.CONFIGURATION_NOT_FOUND);
    platform.corrupt("config/" + first.hash());
    assertThat(store.read(1).join().getLeft().code()).isEqualTo(ResultCode.PLATFORM_REFUSED);
  }

  /**
   * Guards against a wrong result of an edit. If it is reported as applied, the history must
   * contain it; after a conflict, the history must never contain it.
   */
  @Test
  void resultsAgreeWithTheHistoryUnderRandomLosses() {
    long seed = Long.getLong("arbutusroad.seed", System.nanoTime());
    System.out.println("ConfigurationStoreTest seed " + seed);
    Random random = new Random(seed);
    List<FakePlatform.CommitOutcome> commitOutcomes = List.of(FakePlatform.CommitOutcome.values());
    Map<String, Either<Failure, VersionEntry>> results = new HashMap<>();
    long lastVersion = 0;
    for (int i = 0; i < 60; i++) {
      for (int n = random.nextInt(3); n > 0; n--) {
        platform.commitOutcomes.add(commitOutcomes.get(random.nextInt(commitOutcomes.size())));
      }
      long base = random.nextInt(4) == 0 ? Math.max(0, lastVersion - 1) : current();
      String author = "author" + i;
      results.put(author, apply(author, base, i));
      platform.commitOutcomes.clear();
      lastVersion = current();
    }
    List<VersionEntry> history = store.history(100).join().get();
    assertThat(history).as("no gap, seed %d", seed).hasSize((int) current());
    assertThat(platform.row("config/current").map(Row::value))
        .isEqualTo(platform.row("config/v/" + current()).map(Row::value));
    results.forEach(
        (author, result) -> {
          long found = history.stream().filter(entry -> entry.author().equals(author)).count();
          String as = "seed " + seed + " " + author + " " + result;
          if (result.isRight()) {
            assertThat(found).as(as).isEqualTo(1);
          } else if (result.getLeft().code() == ResultCode.CONFIGURATION_CONFLICT) {
            assertThat(found).as(as).isZero();
          } else {
            assertThat(result.getLeft().code()).as(as).isEqualTo(ResultCode.PLATFORM_TIMEOUT);
          }
        });
  }

  private long current() {
    return store.readCurrentVersion().join().get().map(VersionEntry::version).orElse(0L);
  }

  private Either<Failure, VersionEntry> apply(String author, long base, int retries) {
    Configuration checked =
        ConfigurationParser.parse("f", document(retries % 60), Configuration.NOT_APPLIED).get();
    return store.apply(checked, base, author, "2026-01-01T00:00:00Z", "token-" + author).join();
  }

  private static String document(int retries) {
    return "{\"rules\": [], \"defaults\": {\"retries\": " + retries + "}}";
  }
}
