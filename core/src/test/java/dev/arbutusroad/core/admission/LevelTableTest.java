package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.testing.Seeds;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LevelTableTest {
  private static final AdmissionLevel STRICTEST = new AdmissionLevel(AdmissionLevel.MAX_RANK);
  private final LevelTable table = new LevelTable();

  private static final CallClass HIGHEST = new CallClass("a", 100);
  private static final CallClass NORMAL = new CallClass("a", 50);

  private int rank(CallClass callClass, long nowNanos) {
    return table.level("orders", callClass, nowNanos).rank();
  }

  private static AdmissionLevel refusing(int groups) {
    return new AdmissionLevel(NORMAL.importance() * AdmissionLevel.ORIGIN_GROUPS + groups);
  }

  /**
   * Guards against a class of calls that stays refused: while no call is sent, no response
   * refreshes its level.
   */
  @Test
  void unrefreshedLevelDecaysInStepsUntilOpen() {
    table.recordLevel("orders", HIGHEST, STRICTEST, 0);
    assertThat(rank(HIGHEST, LevelTable.DECAY_DELAY_NANOS - 1)).isEqualTo(STRICTEST.rank());
    assertThat(rank(new CallClass("b", 100), 0)).isZero();
    int previous = STRICTEST.rank();
    int steps = 0;
    for (long nowNanos = LevelTable.DECAY_DELAY_NANOS;
        previous > 0;
        nowNanos += LevelTable.DECAY_INTERVAL_NANOS) {
      int next = rank(HIGHEST, nowNanos);
      assertThat(next).isLessThan(previous);
      previous = next;
      steps++;
    }
    assertThat(steps).isGreaterThan(5);
    assertThat(LevelTable.DECAY_DELAY_NANOS + (steps - 1) * LevelTable.DECAY_INTERVAL_NANOS)
        .isLessThanOrEqualTo(TimeUnit.SECONDS.toNanos(2));
    assertThat(table.snapshot()).isEmpty();
  }

  /** Guards against refusing all calls because of a minority of responses with a strict level. */
  @Test
  void levelsOfDifferentResponsesAreAveraged() {
    for (int i = 0; i < 400; i++) {
      table.recordLevel("orders", HIGHEST, i % 4 == 0 ? STRICTEST : AdmissionLevel.OPEN, i);
      assertThat(rank(HIGHEST, i)).isLessThanOrEqualTo(STRICTEST.rank());
    }
    int refused = rank(HIGHEST, 400) - HIGHEST.importance() * AdmissionLevel.ORIGIN_GROUPS;
    assertThat(refused)
        .isBetween(AdmissionLevel.ORIGIN_GROUPS / 10, AdmissionLevel.ORIGIN_GROUPS / 2);
    for (int i = 400; i < 500; i++) {
      table.recordLevel("orders", HIGHEST, AdmissionLevel.OPEN, i);
    }
    assertThat(rank(HIGHEST, 500)).isZero();
  }

  /**
   * Guards against a single response with an open level, from a gate with free capacity, that
   * admits all calls again.
   */
  @Test
  void openResponseLowersTheLevelByItsWeight() {
    for (int i = 0; i < 20; i++) {
      table.recordLevel("orders", NORMAL, refusing(64), i);
    }
    table.recordLevel("orders", NORMAL, AdmissionLevel.OPEN, 20);
    assertThat(table.level("orders", NORMAL, 20)).isEqualTo(refusing(48));
  }

  /**
   * Guards against a level between the importances of two classes that refuses part of either
   * class.
   */
  @Test
  void levelOutsideTheImportanceRefusesAllOrNothing() {
    CallClass moreImportantClass = new CallClass("a", 70);
    CallClass lessImportantClass = new CallClass("a", 30);
    for (CallClass callClass : List.of(moreImportantClass, lessImportantClass)) {
      table.recordLevel("orders", callClass, refusing(64), 0);
    }
    assertThat(table.level("orders", moreImportantClass, 0)).isEqualTo(AdmissionLevel.OPEN);
    AdmissionLevel refusesAll = table.level("orders", lessImportantClass, 0);
    assertThat(refusesAll.admits(AdmissionLevel.rankOf(30, -1))).isFalse();
    assertThat(refusesAll.admits(AdmissionLevel.rankOf(31, 0))).isTrue();
  }

  /** Guards against refusing calls that one target of the service would admit. */
  @Test
  void callIsRefusedOnlyBelowTheLevelsOfAllTargets() {
    List<String> targets = List.of("m1", "m2", "m3");
    for (String target : List.of("m1", "m2")) {
      table.recordLevel(target, HIGHEST, STRICTEST, 0);
    }
    assertThat(table.lowest(targets, HIGHEST, 0)).isEqualTo(AdmissionLevel.OPEN);
    AdmissionLevel lowest = new AdmissionLevel(STRICTEST.rank() - 100);
    table.recordLevel("m3", HIGHEST, lowest, 0);
    assertThat(table.lowest(targets, HIGHEST, 0)).isEqualTo(lowest);
    assertThat(table.lowest(List.of("m1", "m2"), HIGHEST, 0)).isEqualTo(STRICTEST);
    assertThat(table.lowest(List.of(), HIGHEST, 0)).isEqualTo(AdmissionLevel.OPEN);
  }

  /**
   * Guards against levels that admit a call but refuse a more important one, against levels that
   * change in their text form, and against a table that grows without bound.
   */
  @Test
  void levelIsMonotonicAndRoundTripsAsText() {
    Random random = new Random(Seeds.seed("LevelTableTest"));
    for (int i = 0; i < 10_000; i++) {
      AdmissionLevel level = new AdmissionLevel(random.nextInt(AdmissionLevel.MAX_RANK + 1));
      int importance = random.nextInt(100);
      long originHash = random.nextLong();
      assertThat(AdmissionLevel.parse(level.format())).contains(level);
      int rank = AdmissionLevel.rankOf(importance, originHash);
      int childRank = AdmissionLevel.rankOfChildCall(importance, originHash);
      int moreImportantRank = AdmissionLevel.rankOf(importance + 1, random.nextLong());
      assertThat(childRank).isBetween(rank, moreImportantRank - 1);
      if (level.admits(childRank)) {
        assertThat(level.admits(moreImportantRank)).isTrue();
      }
    }
    for (String malformed : new String[] {"", "1", ".1", "1.", "101.0", "1.128", "-1.0", "1.x"}) {
      assertThat(AdmissionLevel.parse(malformed)).isEmpty();
    }
    for (int i = 0; i < 2 * LevelTable.MAX_ENTRIES; i++) {
      table.recordLevel("orders", new CallClass("kind" + i, 100), STRICTEST, 0);
    }
    assertThat(table.snapshot()).hasSize(LevelTable.MAX_ENTRIES);
  }
}
