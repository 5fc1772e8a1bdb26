package dev.arbutusroad.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.claim.ClaimRules.ReadRow;
import dev.arbutusroad.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against decisions that let an order run twice or that deny that it may have run. */
final class ClaimRulesTest {
  private static final RecordedAnswer ANSWER =
      RecordedAnswer.of(
              201, List.of(new RecordedAnswer.Header("content-type", "a/b\"")), new byte[] {1, -1})
          .orElseThrow();
  private static final ClaimRow MINE = ClaimRow.started("mine", "node-1", 3);
  private static final ClaimRow OTHER = ClaimRow.started("other", "node-2", 1);

  static Stream<Arguments> reads() {
    ClaimStep wait = new ClaimStep.Wait();
    return Stream.of(
        Arguments.of(0, null, 0, new ClaimStep.Write(0)),
        // An absent row below the precondition is a stale read.
        Arguments.of(4, null, 0, wait),
        Arguments.of(0, MINE, 1, new ClaimStep.Run(1)),
        Arguments.of(0, OTHER, 1, wait),
        Arguments.of(0, done(OTHER, ANSWER), 2, new ClaimStep.Answer(ANSWER)),
        Arguments.of(0, done(OTHER, null), 2, new ClaimStep.Refuse(ResultCode.ANSWER_NOT_KEPT)),
        Arguments.of(
            0,
            OTHER.settled(ClaimState.UNKNOWN, Optional.empty()),
            2,
            new ClaimStep.Refuse(ResultCode.OUTCOME_UNKNOWN)),
        Arguments.of(0, released(OTHER), 2, new ClaimStep.Write(2)),
        Arguments.of(2, released(OTHER), 2, new ClaimStep.Write(2)),
        Arguments.of(4, released(OTHER), 2, wait));
  }

  @ParameterizedTest
  @MethodSource("reads")
  void nextStepFollowsFromTheRowRead(long expected, ClaimRow row, long version, ClaimStep step) {
    assertThat(ClaimRules.afterRead("mine", expected, read(row, version))).isEqualTo(step);
  }

  static Stream<Arguments> settleReads() {
    SettleStep retry = new SettleStep.Retry();
    SettleStep finished = new SettleStep.Finished();
    return Stream.of(
        Arguments.of(0, null, 0, retry),
        Arguments.of(0, MINE, 1, new SettleStep.Write(1)),
        Arguments.of(1, released(MINE), 2, finished),
        Arguments.of(0, OTHER, 1, finished),
        Arguments.of(2, released(OTHER), 2, retry));
  }

  @ParameterizedTest
  @MethodSource("settleReads")
  void nextSettleStepFollowsFromTheRowRead(
      long expected, ClaimRow row, long version, SettleStep step) {
    assertThat(ClaimRules.afterSettleRead(released(MINE), expected, read(row, version)))
        .isEqualTo(step);
  }

  @Test
  void undecidedAttemptIsNotReportedAsNotRunIfAnotherAttemptExists() {
    assertThat(ClaimRules.undecidedCode(true, true)).isEqualTo(ResultCode.ORDER_IN_PROGRESS);
    assertThat(ClaimRules.undecidedCode(false, true)).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(ClaimRules.undecidedCode(false, false)).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
  }

  @Test
  void encodedRowsDecodeEqualAndMalformedRowsAreFailures() {
    for (ClaimRow row : List.of(MINE, released(OTHER), done(OTHER, ANSWER))) {
      assertThat(ClaimRowJson.decode(ClaimRowJson.encode(row)).get()).isEqualTo(row);
    }
    for (String value : List.of("", "null", "[]", "{\"state\":\"GONE\"}", "{\"state\":\"DONE\"}")) {
      assertThat(ClaimRowJson.decode(value).getLeft().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }
    byte[] tooLong = new byte[RecordedAnswer.MAX_BODY_BYTES + 1];
    assertThat(RecordedAnswer.of(200, List.of(), tooLong)).isEmpty();
  }

  private static Optional<ReadRow> read(ClaimRow row, long version) {
    return Optional.ofNullable(row).map(value -> new ReadRow(value, version));
  }

  private static ClaimRow released(ClaimRow row) {
    return row.settled(ClaimState.RELEASED, Optional.empty());
  }

  private static ClaimRow done(ClaimRow row, RecordedAnswer answer) {
    return row.settled(ClaimState.DONE, Optional.ofNullable(answer));
  }
}
