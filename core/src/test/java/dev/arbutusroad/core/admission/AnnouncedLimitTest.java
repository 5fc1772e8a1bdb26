package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class AnnouncedLimitTest {
  private static final int SLOTS = 36;
  private static final double SLOWDOWN_UTILIZATION = 0.95;
  private static final double SLOWDOWN_FACTOR = 1.3;

  /**
   * Guards against calls that wait in the target, where more important calls cannot overtake them.
   */
  @Test
  void staysBelowAnnouncedSlotsAndFallsBackWithoutThem() {
    AnnouncedLimit limit = new AnnouncedLimit(new StaticLimit(7));
    assertThat(limit.limit()).isEqualTo(7);
    limit.announce(41);
    assertThat(limit.limit()).isEqualTo(38);
    limit.announce(1);
    assertThat(limit.limit()).isEqualTo(1);
    limit.announce(0);
    assertThat(limit.limit()).isEqualTo(7);
  }

  /** Guards against a target that is filled until it slows down and serves fewer calls. */
  @Test
  void saturatedTargetThatSlowsDownWhenNearlyFullServesMore() {
    AnnouncedLimit limit = new AnnouncedLimit(new StaticLimit(7));
    limit.announce(SLOTS);
    assertThat(relativeThroughput(limit.limit())).isGreaterThan(relativeThroughput(SLOTS));
    for (int slots = 1; slots <= 400; slots++) {
      limit.announce(slots);
      assertThat(limit.limit()).isPositive().isLessThanOrEqualTo(slots);
      assertThat(slots > 1 && limit.limit() >= SLOWDOWN_UTILIZATION * slots).isFalse();
    }
  }

  /**
   * Returns the calls served per unslowed call duration, with a constant number of running calls.
   */
  private static double relativeThroughput(int running) {
    return running >= SLOWDOWN_UTILIZATION * SLOTS ? running / SLOWDOWN_FACTOR : running;
  }
}
