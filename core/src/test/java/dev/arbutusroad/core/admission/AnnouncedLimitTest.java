package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class AnnouncedLimitTest {
  private static final int SLOTS = 36;
  private static final double NEARLY_FULL = 0.95;
  private static final double SLOWDOWN = 1.3;

  /** Guards against calls that wait in the target, where more important ones can't pass them. */
  @Test
  void staysBelowTheAnnouncedSlotsAndMeasuresUntilThen() {
    AnnouncedLimit limit = new AnnouncedLimit(new StaticLimit(7));
    assertThat(limit.limit()).isEqualTo(7);
    limit.announce(41);
    assertThat(limit.limit()).isEqualTo(38);
    limit.announce(1);
    assertThat(limit.limit()).isEqualTo(1);
    limit.announce(0);
    assertThat(limit.limit()).isEqualTo(7);
  }

  /** Guards against a target that is kept so full that it serves less. */
  @Test
  void saturatedTargetThatSlowsDownWhenNearlyFullServesMore() {
    AnnouncedLimit limit = new AnnouncedLimit(new StaticLimit(7));
    limit.announce(SLOTS);
    assertThat(servedPerWork(limit.limit())).isGreaterThan(servedPerWork(SLOTS));
    for (int slots = 1; slots <= 400; slots++) {
      limit.announce(slots);
      assertThat(limit.limit()).isPositive().isLessThanOrEqualTo(slots);
      assertThat(slots > 1 && limit.limit() >= NEARLY_FULL * slots).isFalse();
    }
  }

  /** Calls served in the time that one takes alone, while this many always run. */
  private static double servedPerWork(int running) {
    return running >= NEARLY_FULL * SLOTS ? running / SLOWDOWN : running;
  }
}
