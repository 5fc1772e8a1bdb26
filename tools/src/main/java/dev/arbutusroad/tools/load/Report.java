package dev.arbutusroad.tools.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.arbutusroad.tools.load.CallResult.Answer;
import dev.arbutusroad.tools.trace.Trace;
import dev.arbutusroad.tools.trace.TraceCall;
import dev.arbutusroad.tools.trace.TracePhase;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Formats the results of a replay as a table and as a JSON summary. */
final class Report {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double MEDIAN = 50;
  private static final double PERCENTILE_99 = 99;
  private static final String ROW_FORMAT = "%-10s %-10s %7s %7s %6s %7s %7s %7s %7s %7s %8s %8s%n";

  private final Trace trace;
  private final Measures measures;
  private final Audit audit;
  private final List<Outcomes.Evaluation> evaluations;

  Report(Trace trace, Measures measures, Audit audit, List<Outcomes.Evaluation> evaluations) {
    this.trace = trace;
    this.measures = measures;
    this.audit = audit;
    this.evaluations = List.copyOf(evaluations);
  }

  boolean allMet() {
    return evaluations.stream().allMatch(Outcomes.Evaluation::met);
  }

  /** Returns a table with one row for each phase and class, followed by the outcomes. */
  String table() {
    StringBuilder table = new StringBuilder();
    table.append(
        ROW_FORMAT.formatted(
            "phase", "class", "offered", "good", "share", "notrun", "failed", "timeout", "wrong",
            "tries", "p50ms", "p99ms"));
    for (TracePhase phase : trace.phases()) {
      for (String group : measures.groups()) {
        appendRow(
            table, phase, group, Measures.inPhase(phase).and(Measures.inGroups(Set.of(group))));
      }
      appendRow(table, phase, "all", Measures.inPhase(phase));
    }
    for (Outcomes.Evaluation evaluation : evaluations) {
      table.append(
          "%s %s: %.3f%n"
              .formatted(
                  evaluation.met() ? "met   " : "MISSED",
                  evaluation.outcome().name(),
                  evaluation.value()));
    }
    return table.toString();
  }

  private void appendRow(
      StringBuilder table, TracePhase phase, String group, Predicate<TraceCall> calls) {
    Histogram latency = measures.latencyMicros(calls);
    table.append(
        ROW_FORMAT.formatted(
            phase.name(),
            group,
            measures.offered(calls),
            measures.good(calls),
            decimal(measures.goodShare(calls)),
            measures.count(calls, Answer.NOT_RUN),
            measures.count(calls, Answer.FAILED),
            measures.count(calls, Answer.TIMED_OUT),
            measures.count(calls, Answer.WRONG) + measures.count(calls, Answer.TRUNCATED),
            measures.attempts(calls),
            decimal(latency.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI),
            decimal(latency.getValueAtPercentile(PERCENTILE_99) / MICROS_PER_MILLI)));
  }

  /** Returns the summary as one line of JSON. */
  String json() {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("trace", trace.header().name());
    ArrayNode phases = root.putArray("phases");
    for (TracePhase phase : trace.phases()) {
      for (String group : measures.groups()) {
        Predicate<TraceCall> calls = Measures.inPhase(phase).and(Measures.inGroups(Set.of(group)));
        ObjectNode entry = phases.addObject().put("phase", phase.name()).put("class", group);
        entry.put("offered", measures.offered(calls)).put("good", measures.good(calls));
        entry.put("attempts", measures.attempts(calls));
      }
    }
    root.put("doubledRuns", audit.doubledRuns());
    root.put("ranDespiteNotRun", audit.ranDespiteNotRun());
    root.put("notRunAttempts", audit.notRunAttempts());
    ArrayNode outcomes = root.putArray("outcomes");
    for (Outcomes.Evaluation evaluation : evaluations) {
      outcomes
          .addObject()
          .put("name", evaluation.outcome().name())
          .put("value", Double.isInfinite(evaluation.value()) ? -1 : evaluation.value())
          .put("met", evaluation.met());
    }
    try {
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the report can't be written as JSON", e);
    }
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
