package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.testing.Seeds;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LevelTableTest {
  private static final AdmissionLevel STRICT = new AdmissionLevel(AdmissionLevel.MAX_RANK);
  private final LevelTable table = new LevelTable();

  private static final CallClass HIGHEST = new CallClass("a", 100);
  private static final CallClass NORMAL = new CallClass("a", 50);

  private int rank(CallClass calls, long nowNanos) {
    return table.level("orders", calls, nowNanos).rank();
  }

  private static AdmissionLevel refusing(int groups) {
    return new AdmissionLevel(NORMAL.importance() * AdmissionLevel.GROUPS + groups);
  }

  /** Guards against a class that starves on a level that no response refreshes any more. */
  @Test
  void unrefreshedLevelIsLoweredInStepsUntilOpen() {
    table.recordLevel("orders", HIGHEST, STRICT, 0);
    assertThat(rank(HIGHEST, LevelTable.EXPIRY_NANOS - 1)).isEqualTo(STRICT.rank());
    assertThat(rank(new CallClass("b", 100), 0)).isZero();
    int previous = STRICT.rank();
    int steps = 0;
    for (long now = LevelTable.EXPIRY_NANOS; previous > 0; now += LevelTable.STEP_NANOS) {
      int next = rank(HIGHEST, now);
      assertThat(next).isLessThan(previous);
      previous = next;
      steps++;
    }
    assertThat(steps).isGreaterThan(5);
    assertThat(LevelTable.EXPIRY_NANOS + (steps - 1) * LevelTable.STEP_NANOS)
        .isLessThanOrEqualTo(TimeUnit.SECONDS.toNanos(2));
    assertThat(table.snapshot()).isEmpty();
  }

  /** Guards against one strict target of several that has all calls refused for all targets. */
  @Test
  void levelsOfSeveralTargetsAreAveraged() {
    for (int i = 0; i < 400; i++) {
      table.recordLevel("orders", HIGHEST, i % 4 == 0 ? STRICT : AdmissionLevel.OPEN, i);
      assertThat(rank(HIGHEST, i)).isLessThanOrEqualTo(STRICT.rank());
    }
    int refused = rank(HIGHEST, 400) - HIGHEST.importance() * AdmissionLevel.GROUPS;
    assertThat(refused).isBetween(AdmissionLevel.GROUPS / 10, AdmissionLevel.GROUPS / 2);
    for (int i = 400; i < 500; i++) {
      table.recordLevel("orders", HIGHEST, AdmissionLevel.OPEN, i);
    }
    assertThat(rank(HIGHEST, 500)).isZero();
  }

  /**
   * Guards against one response without a level, of a request that met a gate with room, that
   * reopens a service for all requests.
   */
  @Test
  void openResponseAmongOthersLowersTheLevelByItsShare() {
    for (int i = 0; i < 20; i++) {
      table.recordLevel("orders", NORMAL, refusing(64), i);
    }
    table.recordLevel("orders", NORMAL, AdmissionLevel.OPEN, 20);
    assertThat(table.level("orders", NORMAL, 20)).isEqualTo(refusing(48));
  }

  /** Guards against a level between two classes that is learned as one inside either of them. */
  @Test
  void levelBesideTheImportanceRefusesAllOrNothing() {
    CallClass more = new CallClass("a", 70);
    CallClass less = new CallClass("a", 30);
    for (CallClass calls : List.of(more, less)) {
      table.recordLevel("orders", calls, refusing(64), 0);
    }
    assertThat(table.level("orders", more, 0)).isEqualTo(AdmissionLevel.OPEN);
    AdmissionLevel all = table.level("orders", less, 0);
    assertThat(all.admits(AdmissionLevel.rankOf(30, -1))).isFalse();
    assertThat(all.admits(AdmissionLevel.rankOf(31, 0))).isTrue();
  }

  /** Guards against calls that are refused although one target of the service has room for them. */
  @Test
  void callIsRefusedOnlyBelowTheLevelsOfAllTargets() {
    List<String> targets = List.of("m1", "m2", "m3");
    for (String target : List.of("m1", "m2")) {
      table.recordLevel(target, HIGHEST, STRICT, 0);
    }
    assertThat(table.lowest(targets, HIGHEST, 0)).isEqualTo(AdmissionLevel.OPEN);
    AdmissionLevel open = new AdmissionLevel(STRICT.rank() - 100);
    table.recordLevel("m3", HIGHEST, open, 0);
    assertThat(table.lowest(targets, HIGHEST, 0)).isEqualTo(open);
    assertThat(table.lowest(List.of("m1", "m2"), HIGHEST, 0)).isEqualTo(STRICT);
    assertThat(table.lowest(List.of(), HIGHEST, 0)).isEqualTo(AdmissionLevel.OPEN);
  }

  /**
   * Guards against levels that order calls differently at two nodes, and that change on the way.
   */
  @Test
  void levelIsMonotoneAndSurvivesItsTextForm() {
    Random random = new Random(Seeds.seed("LevelTableTest"));
    for (int i = 0; i < 10_000; i++) {
      AdmissionLevel level = new AdmissionLevel(random.nextInt(AdmissionLevel.MAX_RANK + 1));
      int importance = random.nextInt(100);
      long origin = random.nextLong();
      assertThat(AdmissionLevel.parse(level.format())).contains(level);
      int rank = AdmissionLevel.rankOf(importance, origin);
      int started = AdmissionLevel.rankOfChildCall(importance, origin);
      int moreImportant = AdmissionLevel.rankOf(importance + 1, random.nextLong());
      assertThat(started).isBetween(rank, moreImportant - 1);
      if (level.admits(started)) {
        assertThat(level.admits(moreImportant)).isTrue();
      }
    }
    for (String malformed : new String[] {"", "1", ".1", "1.", "101.0", "1.128", "-1.0", "1.x"}) {
      assertThat(AdmissionLevel.parse(malformed)).isEmpty();
    }
    for (int i = 0; i < 2 * LevelTable.MAX_ENTRIES; i++) {
      table.recordLevel("orders", new CallClass("kind" + i, 100), STRICT, 0);
    }
    assertThat(table.snapshot()).hasSize(LevelTable.MAX_ENTRIES);
  }
}
