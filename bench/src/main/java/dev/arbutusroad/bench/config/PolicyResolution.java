package dev.arbutusroad.bench.config;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationParser;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Measures the time to resolve the policy of one call at the design size of 110 services. */
public final class PolicyResolution {
  private static final int SERVICES = 110;
  private static final int RULES_PER_SERVICE = 5;
  private static final int EXPECTED_IMPORTANCE = 50;
  private static final int ROUNDS = 8;
  private static final int CALLS = 2_000_000;

  private PolicyResolution() {}

  /** Prints the time per call of each round; the first rounds warm up the JIT compiler. */
  public static void main(String[] args) {
    Configuration configuration = configuration();
    CallAttributes withoutLabels = call("GET", Labels.empty());
    CallAttributes withLabel = call("POST", Labels.of(Map.of("town", "muscat")));
    for (int round = 1; round <= ROUNDS; round++) {
      System.out.printf(
          "round=%d no_label_ns=%.0f attached_label_ns=%.0f%n",
          round,
          nanosPerCall(configuration, withoutLabels),
          nanosPerCall(configuration, withLabel));
    }
  }

  private static double nanosPerCall(Configuration configuration, CallAttributes call) {
    long importanceSum = 0;
    long startNanos = System.nanoTime();
    for (int i = 0; i < CALLS; i++) {
      importanceSum += configuration.resolve(call).importance();
    }
    long elapsedNanos = System.nanoTime() - startNanos;
    if (importanceSum != (long) CALLS * EXPECTED_IMPORTANCE) {
      throw new IllegalStateException(
          "expected rules were not applied; importances add up to " + importanceSum);
    }
    return elapsedNanos / (double) CALLS;
  }

  private static Configuration configuration() {
    List<String> labelling = new ArrayList<>();
    List<String> rules = new ArrayList<>();
    for (int service = 0; service < SERVICES; service++) {
      labelling.add(
          "{\"name\": \"l%d\", \"when\": \"service = s%d, method = POST\", \"attach\": {\"kind\": \"k%d\"}}"
              .formatted(service, service, service));
      for (int rule = 0; rule < RULES_PER_SERVICE; rule++) {
        rules.add(
            "{\"name\": \"r%d-%d\", \"select\": \"service = s%d, path ^= /p%d\", \"importance\": 50}"
                .formatted(service, rule, service, rule));
      }
      rules.add(
          "{\"name\": \"o%d\", \"select\": \"kind = k%d\", \"unrepeatable\": true, \"retries\": 1}"
              .formatted(service, service));
    }
    String document =
        "{\"labelling\": [%s], \"rules\": [%s]}"
            .formatted(String.join(",", labelling), String.join(",", rules));
    return ConfigurationParser.parse("benchmark", document, 1).get();
  }

  private static CallAttributes call(String method, Labels labels) {
    return new CallAttributes("s77", method, "/p4/7", CallAttributes.EXTERNAL, labels);
  }
}
