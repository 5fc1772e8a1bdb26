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

  /** Guards against a lost answer that is reported as a failure, or an edit that is overwritten. */
  @Test
  void twoOperatorsWithALostAnswerOneWins() {
    assertThat(apply("first", 0, 1).get().version()).isEqualTo(1);
    platform.fates.add(FakePlatform.Fate.ANSWER_LOST);

    assertThat(apply("anna", 1, 2).get().version()).isEqualTo(2);
    Failure loser = apply("berta", 1, 3).getLeft();

    assertThat(loser.code()).isEqualTo(ResultCode.CONFIGURATION_CONFLICT);
    assertThat(loser.detail()).contains("based on version 1", "version 2 by anna");
    assertThat(store.readCurrent().join().get().orElseThrow().document()).isEqualTo(document(2));
    assertThat(store.history(9).join().get().stream().map(VersionEntry::author))
        .containsExactly("anna", "first");
  }

  /** Guards against documents that aren't the ones applied. */
  @Test
  void refusesAMissingVersionAndAChangedDocument() {
    assertThat(store.readCurrent().join().get()).isEmpty();
    VersionEntry first = apply("anna", 0, 1).get();
    assertThat(store.read(2).join().getLeft().code()).isEqualTo(ResultCode.CONFIGURATION_NOT_FOUND);
    platform.corrupt("config/" + first.hash());
    assertThat(store.read(1).join().getLeft().code()).isEqualTo(ResultCode.PLATFORM_REFUSED);
  }

  /**
   * Guards against a wrong report about an edit: "applied" must mean that the history has it, a
   * conflict must mean that it never will.
   */
  @Test
  void reportsAreTrueUnderRandomLosses() {
    long seed = Long.getLong("arbutusroad.seed", System.nanoTime());
    System.out.println("ConfigurationStoreTest seed " + seed);
    Random random = new Random(seed);
    List<FakePlatform.Fate> fates = List.of(FakePlatform.Fate.values());
    Map<String, Either<Failure, VersionEntry>> reports = new HashMap<>();
    long seen = 0;
    for (int i = 0; i < 60; i++) {
      for (int n = random.nextInt(3); n > 0; n--) {
        platform.fates.add(fates.get(random.nextInt(fates.size())));
      }
      long base = random.nextInt(4) == 0 ? Math.max(0, seen - 1) : current();
      String author = "author" + i;
      reports.put(author, apply(author, base, i));
      platform.fates.clear();
      seen = current();
    }
    List<VersionEntry> history = store.history(100).join().get();
    assertThat(history).as("no gap, seed %d", seed).hasSize((int) current());
    assertThat(platform.row("config/current").map(Row::value))
        .isEqualTo(platform.row("config/v/" + current()).map(Row::value));
    reports.forEach(
        (author, report) -> {
          long found = history.stream().filter(entry -> entry.author().equals(author)).count();
          String as = "seed " + seed + " " + author + " " + report;
          if (report.isRight()) {
            assertThat(found).as(as).isEqualTo(1);
          } else if (report.getLeft().code() == ResultCode.CONFIGURATION_CONFLICT) {
            assertThat(found).as(as).isZero();
          } else {
            assertThat(report.getLeft().code()).as(as).isEqualTo(ResultCode.PLATFORM_TIMEOUT);
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
