package dev.arbutusroad.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against running an order twice because its row is purged while its key is accepted. */
final class OrderKeyTest {
  private static final Instant TIME = Instant.parse("2026-01-31T12:59:59Z");
  private static final String KEY = "20260131T125959Z-4711";

  @ParameterizedTest
  @ValueSource(strings = {"", "a b", "ä", "a\n", "20261331T120000Z-1", "20260230T120000Z-1"})
  void malformedKeysAreRejected(String text) {
    assertThat(OrderKey.parse(text).getLeft().code()).isEqualTo(ResultCode.BAD_REQUEST);
    assertThat(OrderKey.parse("x".repeat(OrderKey.MAX_LENGTH + 1)).isLeft()).isTrue();
  }

  @ParameterizedTest
  @CsvSource({
    "PT-24H, ",
    "PT-24H-1S, BAD_REQUEST",
    "PT0S, ",
    "PT24H, ",
    "PT24H1S, ORDER_KEY_EXPIRED",
  })
  void keysAreAcceptedFor24Hours(Duration age, ResultCode expected) {
    OrderKey key = OrderKey.parse(KEY).get();
    assertThat(key.time()).contains(TIME);
    assertThat(key.rejection(TIME.plus(age)).map(Failure::code).orElse(null)).isEqualTo(expected);
  }

  @Test
  void rowIsPurgeableOnlyAfterEveryKeyOfItsHourHasBeenRejectedForADay() {
    String row = OrderKey.parse(KEY).get().rowKey("orders");
    assertThat(row).startsWith("claim/t2026013112/");
    Instant keptUntil = TIME.plus(OrderKey.RETENTION);
    assertThat(OrderKey.isPurgeable(row, keptUntil)).isFalse();
    assertThat(OrderKey.isPurgeable(row, keptUntil.plusSeconds(2))).isTrue();
    assertThat(OrderKey.isPurgeable("claim/t2026133199/x", Instant.MAX)).isFalse();
  }

  @Test
  void keyWithoutATimeIsKept() {
    OrderKey key = OrderKey.parse("4711").get();
    assertThat(key.rejection(Instant.MAX)).isEmpty();
    assertThat(key.rowKey("orders")).startsWith("claim/p").isNotEqualTo(key.rowKey("planner"));
    assertThat(OrderKey.isPurgeable(key.rowKey("orders"), Instant.MAX)).isFalse();
  }
}
