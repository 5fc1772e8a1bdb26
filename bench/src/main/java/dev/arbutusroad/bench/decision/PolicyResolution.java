package dev.arbutusroad.bench.decision;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationParser;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the resolution of a call's policy by the number of rules. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PolicyResolution {
  @Param({"10", "100"})
  public int rules;

  private Configuration configuration;
  private CallAttributes call;

  /** Parses a document in which every second rule names the service of the call. */
  @Setup
  public void prepare() {
    StringBuilder document = new StringBuilder("{\"rules\": [");
    for (int i = 0; i < rules; i++) {
      document.append(
          "%s{\"name\": \"r%d\", \"select\": \"service = s%d, path ^= /p%d\", \"importance\": %d}"
              .formatted(i == 0 ? "" : ",", i, i % 2, i, i % 100));
    }
    document.append("]}");
    configuration = ConfigurationParser.parse("bench", document.toString(), 1).get();
    call =
        new CallAttributes(
            "s0", "GET", "/p0/7", CallAttributes.EXTERNAL, Labels.of(Map.of("app", "installer")));
  }

  /** Resolves the policy of a call. */
  @Benchmark
  public CallPolicy resolve() {
    return configuration.resolve(call);
  }
}
