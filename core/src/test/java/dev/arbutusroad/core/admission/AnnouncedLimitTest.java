package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class AnnouncedLimitTest {
  /** Guards against calls that wait in the target, where more important ones can't pass them. */
  @Test
  void limitsToTheAnnouncedSlotsAndMeasuresUntilThen() {
    AnnouncedLimit limit = new AnnouncedLimit(new StaticLimit(7));
    assertThat(limit.limit()).isEqualTo(7);
    limit.announce(41);
    assertThat(limit.limit()).isEqualTo(41);
    limit.announce(0);
    assertThat(limit.limit()).isEqualTo(7);
  }
}
