package dev.arbutusroad.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RuleTableTest {
  private static final List<String> SERVICES = List.of("a", "b", "c", "d");
  private static final List<Map<String, String>> LABELS =
      List.of(
          Map.of(),
          Map.of("tier", "gold"),
          Map.of("tier", "tin"),
          Map.of("town", "graz"),
          Map.of("tier", "gold", "town", "graz"));
  private static final List<String> SELECTORS =
      List.of(
          "service = a",
          "service in (a, b)",
          "service notin (a)",
          "service != b",
          "tier = gold",
          "!tier",
          "path ^= /x",
          "method = GET",
          "caller = external",
          "service ^= c");

  /** Guards against a wrong winner, and against a client that overrides an attached label. */
  @Test
  void precedenceThenRequirementsThenNameDecideEachProperty() {
    Configuration configuration =
        parse(
            """
            {"labelling": [{"name": "gold", "when": "path ^= /gold", "attach": {"tier": "gold"}}],
             "rules": [
               {"name": "b", "select": "service = a", "importance": 50, "retries": 5},
               {"name": "a", "select": "method = GET", "importance": 51},
               {"name": "c", "select": "service = a, method = GET", "importance": 52},
               {"name": "d", "select": "tier = gold", "precedence": 9, "importance": 53}],
             "defaults": {"deadlineMs": 700}}
            """);

    CallPolicy plain = configuration.resolve(call("a", "GET", "/", Map.of()));
    assertThat(plain).isEqualTo(new CallPolicy("c+b", 52, false, 5, 700));
    assertThat(configuration.resolve(call("a", "PUT", "/", Map.of())).importance()).isEqualTo(50);
    assertThat(configuration.resolve(call("z", "GET", "/", Map.of())).importance()).isEqualTo(51);
    assertThat(configuration.resolve(call("z", "PUT", "/", Map.of())).kind()).isEqualTo("default");
    CallAttributes spoofedLabel = call("a", "GET", "/gold", Map.of("tier", "tin"));
    assertThat(configuration.resolve(spoofedLabel).importance()).isEqualTo(53);

    var importance = configuration.explain(spoofedLabel).properties().get(0);
    assertThat(importance.winner().orElseThrow().name()).isEqualTo("d");
    assertThat(importance.overruled()).containsExactly("c", "a", "b");
  }

  /** Guards against an index that misses a matching rule; the reference is a scan of all rules. */
  @Test
  void compiledTableAgreesWithAScanOfAllRules() {
    long seed = Long.getLong("arbutusroad.seed", System.nanoTime());
    System.out.println("RuleTableTest seed " + seed);
    Random random = new Random(seed);
    for (int round = 0; round < 300; round++) {
      Configuration configuration = parse(randomDocument(random));
      for (int i = 0; i < 50; i++) {
        CallAttributes call =
            call(
                SERVICES.get(random.nextInt(4)),
                random.nextBoolean() ? "GET" : "POST",
                random.nextBoolean() ? "/x/1" : "/y",
                LABELS.get(random.nextInt(LABELS.size())));
        CallPolicy policy = configuration.resolve(call);
        var expected = configuration.explain(call).properties();
        assertThat(
                List.of(
                    (long) policy.importance(),
                    policy.unrepeatable() ? 1L : 0L,
                    (long) policy.retryAllowance(),
                    policy.deadlineMillis()))
            .as("%s under %s", call, configuration.document())
            .isEqualTo(expected.stream().map(PolicyExplanation.Property::value).toList());
      }
    }
  }

  private static String randomDocument(Random random) {
    List<String> rules = new ArrayList<>();
    for (int n = random.nextInt(12); n > 0; n--) {
      String selector = SELECTORS.get(random.nextInt(SELECTORS.size()));
      if (random.nextInt(3) == 0) {
        selector += ", method != PUT";
      }
      // Precedences are unique, so that no two rules contradict each other.
      rules.add(
          "{\"name\": \"r%d\", \"select\": \"%s\", \"precedence\": %d, \"%s\": %d}"
              .formatted(
                  n,
                  selector,
                  (n * 7) % 13,
                  random.nextBoolean() ? "importance" : "retries",
                  random.nextInt(60)));
    }
    return "{\"rules\": [" + String.join(",", rules) + "]}";
  }

  private static CallAttributes call(
      String service, String method, String path, Map<String, String> labels) {
    return new CallAttributes(service, method, path, "external", Labels.of(labels));
  }

  private static Configuration parse(String text) {
    return ConfigurationParser.parse("test.json", text, 1).get();
  }
}
