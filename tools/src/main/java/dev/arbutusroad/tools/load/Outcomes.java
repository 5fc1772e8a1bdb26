package dev.arbutusroad.tools.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.tools.load.CallResult.Answer;
import dev.arbutusroad.tools.trace.Trace;
import dev.arbutusroad.tools.trace.TracePhase;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The expected outcomes that a replay is compared with.
 *
 * @param outcomes the outcomes, in the order of the report
 */
record Outcomes(@JsonProperty("outcomes") List<Outcome> outcomes) {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .build();

  Outcomes {
    outcomes = outcomes == null ? List.of() : List.copyOf(outcomes);
  }

  /** The quantity that an outcome bounds. */
  enum Measure {
    GOOD_SHARE,
    GOOD_OF_CAPACITY,
    RECOVERY_MILLIS,
    DOUBLED_RUNS,
    RAN_DESPITE_NOT_RUN,
    WRONG_ANSWERS
  }

  /**
   * One expected outcome.
   *
   * @param name description in the report, one line
   * @param measure the measured quantity
   * @param phase the phase that it is measured in
   * @param reference the phase that it is compared with
   * @param groups call classes that it covers; empty for all
   * @param atLeast lower bound, or null
   * @param atMost upper bound, or null
   */
  record Outcome(
      @JsonProperty("name") String name,
      @JsonProperty("measure") Measure measure,
      @JsonProperty("phase") String phase,
      @JsonProperty("reference") String reference,
      @JsonProperty("classes") Set<String> groups,
      @JsonProperty("atLeast") Double atLeast,
      @JsonProperty("atMost") Double atMost) {
    Outcome {
      Objects.requireNonNull(name, "name");
      Objects.requireNonNull(measure, "measure");
      groups = groups == null ? Set.of() : Set.copyOf(groups);
      if ((atLeast == null) == (atMost == null)) {
        throw new IllegalArgumentException("an outcome has either atLeast or atMost");
      }
    }

    boolean metBy(double value) {
      return atLeast == null ? value <= atMost : value >= atLeast;
    }
  }

  /**
   * An outcome with its measured value.
   *
   * @param outcome the expected outcome
   * @param value the measured value; infinite if the goodput did not recover
   * @param met whether the value is within the bound
   */
  record Evaluation(Outcome outcome, double value, boolean met) {}

  /** Reads an outcomes file: JSON with comments. */
  static Either<Failure, Outcomes> read(Path file) {
    try {
      return Either.right(MAPPER.readValue(Files.readString(file), Outcomes.class));
    } catch (JsonProcessingException e) {
      return Either.left(
          new Failure(
              ResultCode.SETTINGS_SYNTAX, "outcomes " + file + ": " + e.getOriginalMessage()));
    } catch (IOException e) {
      return Either.left(
          new Failure(ResultCode.SETTINGS_UNREADABLE, "can't read outcomes " + file + ": " + e));
    }
  }

  /** Compares every outcome with the measured values. */
  List<Evaluation> evaluate(Trace trace, Measures measures, Audit audit) {
    return outcomes.stream()
        .map(
            outcome -> {
              double value = value(outcome, trace, measures, audit);
              return new Evaluation(outcome, value, outcome.metBy(value));
            })
        .toList();
  }

  private static double value(Outcome outcome, Trace trace, Measures measures, Audit audit) {
    return switch (outcome.measure()) {
      case GOOD_SHARE ->
          measures.goodShare(
              Measures.inPhase(phase(trace, outcome.phase()))
                  .and(Measures.inGroups(outcome.groups())));
      case GOOD_OF_CAPACITY ->
          measures.goodPerSecond(phase(trace, outcome.phase()))
              / measures.capacityPerSecond(phase(trace, outcome.reference()));
      case RECOVERY_MILLIS ->
          measures
              .recoveryMillis(phase(trace, outcome.phase()), phase(trace, outcome.reference()))
              .stream()
              .asDoubleStream()
              .findFirst()
              .orElse(Double.POSITIVE_INFINITY);
      case DOUBLED_RUNS -> audit.doubledRuns();
      case RAN_DESPITE_NOT_RUN -> audit.ranDespiteNotRun();
      case WRONG_ANSWERS ->
          measures.count(call -> true, Answer.WRONG)
              + measures.count(call -> true, Answer.TRUNCATED);
    };
  }

  private static TracePhase phase(Trace trace, String name) {
    return trace
        .phase(name)
        .orElseThrow(() -> new IllegalArgumentException("the trace has no phase " + name));
  }
}
