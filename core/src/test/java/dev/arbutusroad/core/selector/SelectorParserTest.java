package dev.arbutusroad.core.selector;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import dev.arbutusroad.core.result.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SelectorParserTest {
  private static final List<Operator> OPERATORS = List.of(Operator.values());
  private static final CallAttributes ORDER =
      new CallAttributes(
          "orders",
          "POST",
          "/manifold/7",
          "external",
          Labels.of(Map.of("tier", "gold", "town", "Bad Aussee")));

  /** Guards against an operator that selects too many or too few calls. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '\'',
      value = {
        "service = orders                     | true",
        "service=orders,method=POST           | true",
        "service = orders, method = GET       | false",
        "service != zoning                    | true",
        "service != orders                    | false",
        "service in (planner, orders)         | true",
        "service in (planner, zoning)         | false",
        "service notin (planner, zoning)      | true",
        "service notin (orders)               | false",
        "tier                                 | true",
        "!tier                                | false",
        "season                               | false",
        "!season                              | true",
        "season != winter                     | true",
        "season notin (winter)                | true",
        "season in (winter)                   | false",
        "path ^= /manifold/                   | true",
        "path ^= /plans/                      | false",
        "season ^= win                        | false",
        "town = \"Bad Aussee\"                | true",
        "town ^= \"Bad \", tier               | true",
        "inside = x                           | false",
        "!inside, !notinside                  | true",
      })
  void selectsCallsByOperator(String text, boolean expected) {
    assertThat(SelectorParser.parse(text).get().matches(ORDER)).isEqualTo(expected);
  }

  /** Guards against typing errors that silently select nothing or everything. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '\'',
      value = {
        "''                                   | SELECTOR_SYNTAX | column 1",
        "service =                            | SELECTOR_SYNTAX | expected a value",
        "service = orders,                    | SELECTOR_SYNTAX | column 18",
        "service in orders                    | SELECTOR_SYNTAX | expected \"(\"",
        "service in (orders                   | SELECTOR_SYNTAX | \")\"",
        "service in ()                        | SELECTOR_SYNTAX | expected a value",
        "service == orders                    | SELECTOR_SYNTAX | column 10",
        "Service = orders                     | SELECTOR_SYNTAX | lower-case",
        "service = orders method = GET        | SELECTOR_SYNTAX | \",\" or the end",
        "town = \"Bad                         | SELECTOR_SYNTAX | closing quote",
        "service = orders, service = zoning   | SELECTOR_NEVER_MATCHES | no value of service",
        "service in (a, b), service notin (a, b) | SELECTOR_NEVER_MATCHES | no value of service",
        "tier, !tier                          | SELECTOR_NEVER_MATCHES | absent and present",
        "!service                             | SELECTOR_NEVER_MATCHES | every call has",
        "method = get                         | SELECTOR_NEVER_MATCHES | upper-case",
        "path = plans                         | SELECTOR_NEVER_MATCHES | starts with /",
        "path ^= plans/                       | SELECTOR_NEVER_MATCHES | starts with /",
        "path ^= /a/, path ^= /b/             | SELECTOR_NEVER_MATCHES | starts with all",
        "path ^= /a/, path = /b               | SELECTOR_NEVER_MATCHES | no value of path",
      })
  void malformedOrUnsatisfiableSelectorsAreRejected(String text, ResultCode code, String detail) {
    var failure = SelectorParser.parse(text).getLeft();
    assertThat(failure.code()).isEqualTo(code);
    assertThat(failure.detail()).contains(detail).doesNotContain("\n");
  }

  /**
   * Guards against a canonical text that matches other calls than its selector, and against
   * rejecting satisfiable selectors or accepting unsatisfiable ones.
   */
  @Test
  void canonicalTextOfRandomSelectorsMatchesTheSameCalls() {
    long seed = Long.getLong("arbutusroad.seed", System.nanoTime());
    System.out.println("SelectorParserTest seed " + seed);
    Random random = new Random(seed);
    List<String> values = List.of("a", "ab", "b", "x y\"", "");
    List<CallAttributes> calls = new ArrayList<>();
    calls.add(call(Map.of()));
    values.forEach(l -> calls.add(call(Map.of("l", l))));
    values.forEach(l -> values.forEach(m -> calls.add(call(Map.of("l", l, "m", m)))));
    values.forEach(m -> calls.add(call(Map.of("m", m))));
    for (int i = 0; i < 20_000; i++) {
      List<Requirement> requirements = new ArrayList<>();
      for (int n = 1 + random.nextInt(4); n > 0; n--) {
        Operator operator = OPERATORS.get(random.nextInt(OPERATORS.size()));
        int count =
            switch (operator) {
              case IN, NOT_IN -> 2;
              case PRESENT, ABSENT -> 0;
              default -> 1;
            };
        List<String> operands =
            List.of(values.get(random.nextInt(5)), values.get(random.nextInt(5)));
        requirements.add(
            new Requirement(
                random.nextBoolean() ? "l" : "m", operator, operands.subList(0, count)));
      }
      ParsedSelector selector = new ParsedSelector(requirements);
      boolean matchesAny = calls.stream().anyMatch(selector::matches);
      var parsed = SelectorParser.parse(selector.toString());
      if (selector.contradiction().isPresent()) {
        assertThat(matchesAny).as("%s is rejected", selector).isFalse();
        assertThat(parsed.getLeft().code()).isEqualTo(ResultCode.SELECTOR_NEVER_MATCHES);
      } else {
        assertThat(parsed.get().toString()).isEqualTo(selector.toString());
        calls.forEach(
            call ->
                assertThat(parsed.get().matches(call))
                    .as("%s on %s", selector, call)
                    .isEqualTo(selector.matches(call)));
      }
    }
  }

  private static CallAttributes call(Map<String, String> labels) {
    return new CallAttributes("orders", "GET", "/", "external", Labels.of(labels));
  }
}
