package dev.arbutusroad.tools.load;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.tools.load.CallResult.Answer;
import dev.arbutusroad.tools.trace.Trace;
import dev.arbutusroad.tools.trace.TraceCall;
import dev.arbutusroad.tools.trace.TraceHeader;
import dev.arbutusroad.tools.trace.TracePhase;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;

final class MeasuresTest {
  private static final int CALL_INTERVAL_MILLIS = 10;
  private static final int END_MILLIS = 10_000;
  private static final int DEADLINE_MILLIS = 100;
  private static final TracePhase BEFORE = new TracePhase("before", 0, 2_000);
  private static final TracePhase TRIGGER = new TracePhase("trigger", 2_000, 4_000);
  private static final TracePhase AFTER = new TracePhase("after", 4_000, END_MILLIS);

  /** Guards against recovery reported after too few good windows or without goodput before. */
  @Test
  void recoveryNeedsFiveGoodWindowsInARow() {
    assertThat(recovery(at -> at < 2_000 || at >= 4_000)).hasValue(0);
    assertThat(recovery(at -> at < 2_000 || at >= 5_000)).hasValue(1_000);
    // Good from 4.4 to 5.2 s only: four windows.
    assertThat(recovery(at -> at < 2_000 || (at >= 4_400 && at < 5_200) || at >= 6_000))
        .hasValue(2_000);
    assertThat(recovery(at -> at < 2_000)).isEmpty();
    assertThat(recovery(at -> false)).isEmpty();
  }

  /** Guards against late, wrong or truncated answers counted as goodput. */
  @Test
  void onlyCompleteCorrectAnswersInTimeAreGood() {
    List<Answer> answers = List.copyOf(EnumSet.allOf(Answer.class));
    List<CallResult> results = new ArrayList<>();
    Trace trace = trace();
    int expected = 0;
    for (int i = 0; i < trace.calls().size(); i++) {
      Answer answer = answers.get(i % answers.size());
      boolean late = (i / answers.size()) % 2 == 0;
      expected += answer == Answer.CORRECT && !late ? 1 : 0;
      long latencyMillis = late ? DEADLINE_MILLIS + 1 : DEADLINE_MILLIS;
      results.add(new CallResult(answer, latencyMillis * 1_000_000, 1));
    }
    Measures measures = new Measures(trace, results);

    assertThat(expected).isPositive();
    assertThat(measures.good(call -> true)).isEqualTo(expected);
    assertThat(measures.good(Measures.inGroups(Set.of("absent")))).isZero();
    assertThat(measures.goodPerSecond(BEFORE))
        .isEqualTo(measures.good(Measures.inPhase(BEFORE)) / 2.0);
  }

  private static OptionalInt recovery(IntPredicate goodAt) {
    Trace trace = trace();
    List<CallResult> results =
        trace.calls().stream()
            .map(
                call ->
                    new CallResult(
                        goodAt.test(call.atMillis()) ? Answer.CORRECT : Answer.FAILED, 1, 1))
            .toList();
    return new Measures(trace, results).recoveryMillis(TRIGGER, BEFORE);
  }

  private static Trace trace() {
    List<TraceCall> calls = new ArrayList<>();
    for (int at = 0; at < END_MILLIS; at += CALL_INTERVAL_MILLIS) {
      calls.add(new TraceCall(at, "a", "GET", "/", "normal", Map.of(), 0, -1, "", DEADLINE_MILLIS));
    }
    TraceHeader header = new TraceHeader(TraceHeader.VERSION, "t", 1, "", 0, 1);
    return new Trace(header, List.of(BEFORE, TRIGGER, AFTER), List.of(), calls);
  }
}
