package dev.arbutusroad.tools.history;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.tools.history.OrderViolation.Kind;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a checker that accepts a history with a violation. */
final class OrderHistoryCheckerTest {
  private static final Optional<String> A = Optional.of("a");
  private static final Optional<String> NONE = Optional.empty();

  private interface HistoryRecorder {
    void record(OrderHistory history);
  }

  static Stream<Arguments> histories() {
    return Stream.of(
        history(
            "run, then resent",
            List.of(),
            h -> {
              run(h, 1, A);
              h.recordReply(1, RunState.RUN, A);
              h.recordReply(2, RunState.RUN, A);
            }),
        history(
            "lost, then not run",
            List.of(),
            h -> {
              run(h, 1, A);
              h.recordReply(2, RunState.NOT_RUN, NONE);
            }),
        history(
            "not run, then run",
            List.of(),
            h -> {
              h.recordReply(1, RunState.NOT_RUN, NONE);
              run(h, 2, A);
              h.recordReply(2, RunState.UNKNOWN, NONE);
            }),
        history(
            "ran twice",
            List.of(Kind.RAN_TWICE),
            h -> {
              run(h, 1, A);
              run(h, 2, A);
            }),
        history(
            "one request ran twice",
            List.of(Kind.RAN_TWICE),
            h -> {
              run(h, 1, A);
              run(h, 1, A);
            }),
        history(
            "not run but ran",
            List.of(Kind.NOT_RUN_BUT_RAN),
            h -> {
              run(h, 1, A);
              h.recordReply(1, RunState.NOT_RUN, NONE);
            }),
        history(
            "all not run but ran",
            List.of(Kind.ALL_NOT_RUN_BUT_RAN, Kind.NOT_RUN_BUT_RAN),
            h -> {
              run(h, 1, A);
              h.recordReply(1, RunState.NOT_RUN, NONE);
              h.recordReply(2, RunState.NOT_RUN, NONE);
            }),
        history(
            "answered without a run",
            List.of(Kind.ANSWERED_WITHOUT_RUN),
            h -> h.recordReply(1, RunState.RUN, A)),
        history(
            "other answer",
            List.of(Kind.OTHER_ANSWER),
            h -> {
              run(h, 1, A);
              h.recordReply(2, RunState.RUN, Optional.of("b"));
            }),
        history("never sent", List.of(Kind.NEVER_SENT), h -> h.recordRun(9, "order", A)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("histories")
  void violationsAreFound(String name, List<Kind> expected, HistoryRecorder recorder) {
    OrderHistory history = new OrderHistory();
    history.recordRequest("order");
    history.recordRequest("order");
    recorder.record(history);
    assertThat(OrderHistoryChecker.check(history).stream().map(OrderViolation::kind))
        .containsExactlyElementsOf(expected);
  }

  private static Arguments history(String name, List<Kind> expected, HistoryRecorder recorder) {
    return Arguments.of(name, expected, recorder);
  }

  private static void run(OrderHistory history, long requestId, Optional<String> answer) {
    history.recordRun(requestId, "order", answer);
  }
}
