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

  private int rank(String kind, long nowNanos) {
    return table.level("orders", kind, nowNanos).rank();
  }

  /** Guards against a class that starves on a level that no response refreshes any more. */
  @Test
  void unrefreshedLevelIsLoweredInStepsUntilOpen() {
    table.learn("orders", "a", STRICT, 0);
    assertThat(rank("a", LevelTable.EXPIRY_NANOS - 1)).isEqualTo(STRICT.rank());
    assertThat(rank("b", 0)).isZero();
    int previous = STRICT.rank();
    int steps = 0;
    for (long now = LevelTable.EXPIRY_NANOS; previous > 0; now += LevelTable.STEP_NANOS) {
      int next = rank("a", now);
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
      table.learn("orders", "a", i % 4 == 0 ? STRICT : AdmissionLevel.OPEN, i);
      assertThat(rank("a", i)).isLessThanOrEqualTo(STRICT.rank());
    }
    assertThat(rank("a", 400)).isBetween(STRICT.rank() / 10, STRICT.rank() / 2);
    for (int i = 400; i < 500; i++) {
      table.learn("orders", "a", AdmissionLevel.OPEN, i);
    }
    assertThat(rank("a", 500)).isZero();
  }

  /** Guards against calls that are refused although one target of the service has room for them. */
  @Test
  void callIsRefusedOnlyBelowTheLevelsOfAllTargets() {
    List<String> targets = List.of("m1", "m2", "m3");
    for (String target : List.of("m1", "m2")) {
      table.learn(target, "a", STRICT, 0);
    }
    assertThat(table.lowest(targets, "a", 0)).isEqualTo(AdmissionLevel.OPEN);
    table.learn("m3", "a", new AdmissionLevel(7), 0);
    assertThat(table.lowest(targets, "a", 0).rank()).isEqualTo(7);
    assertThat(table.lowest(List.of("m1", "m2"), "a", 0)).isEqualTo(STRICT);
    assertThat(table.lowest(List.of(), "a", 0)).isEqualTo(AdmissionLevel.OPEN);
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
      if (level.admits(importance, origin)) {
        assertThat(level.admits(importance + 1, random.nextLong())).isTrue();
      }
    }
    for (String malformed : new String[] {"", "1", ".1", "1.", "101.0", "1.128", "-1.0", "1.x"}) {
      assertThat(AdmissionLevel.parse(malformed)).isEmpty();
    }
    for (int i = 0; i < 2 * LevelTable.MAX_ENTRIES; i++) {
      table.learn("orders", "kind" + i, STRICT, 0);
    }
    assertThat(table.snapshot()).hasSize(LevelTable.MAX_ENTRIES);
  }
}
