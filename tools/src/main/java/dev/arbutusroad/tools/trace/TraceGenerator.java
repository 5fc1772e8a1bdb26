package dev.arbutusroad.tools.trace;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Generates a trace with Poisson arrivals from a profile; the same seed gives the same trace. */
public final class TraceGenerator {
  private static final int PATH_NUMBER_BOUND = 10_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final TraceProfile profile;
  private final long seed;
  private final SplittableRandom random;
  private final double totalWeight;
  private int orders;

  private TraceGenerator(TraceProfile profile, long seed) {
    this.profile = profile;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.totalWeight = profile.mix().stream().mapToDouble(TraceProfile.Kind::weight).sum();
  }

  /** Generates the trace of a profile and a seed. */
  public static Trace generate(TraceProfile profile, long seed) {
    return new TraceGenerator(profile, seed).generate();
  }

  private Trace generate() {
    List<TracePhase> phases = new ArrayList<>();
    List<TraceControl> controls = new ArrayList<>();
    List<TraceCall> calls = new ArrayList<>();
    int startMillis = 0;
    for (TraceProfile.Phase phase : profile.phases()) {
      phases.add(new TracePhase(phase.name(), startMillis, startMillis + phase.millis()));
      for (Map.Entry<String, JsonNode> change : new TreeMap<>(phase.changes()).entrySet()) {
        controls.add(new TraceControl(startMillis, change.getKey(), change.getValue()));
      }
      addCalls(calls, phase, startMillis);
      startMillis += phase.millis();
    }
    TraceHeader header =
        new TraceHeader(
            TraceHeader.VERSION,
            profile.name(),
            seed,
            profile.scale(),
            profile.retries(),
            profile.attemptMillis());
    return new Trace(header, phases, controls, calls);
  }

  private void addCalls(List<TraceCall> calls, TraceProfile.Phase phase, int startMillis) {
    double elapsedMillis = 0;
    while (true) {
      double rate = phase.rateAt(elapsedMillis / phase.millis());
      elapsedMillis += -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / rate;
      if (elapsedMillis >= phase.millis()) {
        return;
      }
      calls.add(newCall(startMillis + (int) elapsedMillis, randomKind()));
    }
  }

  private TraceProfile.Kind randomKind() {
    double remainingWeight = random.nextDouble() * totalWeight;
    for (TraceProfile.Kind kind : profile.mix()) {
      remainingWeight -= kind.weight();
      if (remainingWeight < 0) {
        return kind;
      }
    }
    return profile.mix().get(profile.mix().size() - 1);
  }

  private TraceCall newCall(int atMillis, TraceProfile.Kind kind) {
    String path = kind.path().replace("{n}", Integer.toString(random.nextInt(PATH_NUMBER_BOUND)));
    boolean echoed = kind.responseBytes() == 0;
    return new TraceCall(
        atMillis,
        kind.service(),
        kind.method(),
        echoed ? path : path + "?bytes=" + kind.responseBytes(),
        kind.group(),
        kind.labels(),
        kind.requestBytes(),
        echoed ? kind.requestBytes() : kind.responseBytes(),
        kind.order() ? "%s-%d-%d".formatted(profile.name(), seed, ++orders) : "",
        kind.deadlineMillis());
  }
}
