package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.testing.Seeds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OverloadSimulationTest {
  /**
   * One run of a small target has only about 1,000 answers, so the results are means of several.
   */
  private static final int RUNS = 8;

  /** The shares of calls answered in time around a surge to three times the capacity, as means. */
  private static final class Result {
    final double[] surgeShares = new double[GateSimulation.IMPORTANCE.length];
    double goodput;
    double recoveredShare;

    Result(int slots, double serviceMillis, double slowdown) {
      long seed = Seeds.seed("OverloadSimulationTest");
      for (int i = 0; i < RUNS; i++) {
        GateSimulation simulation =
            new GateSimulation(
                new ProbingLimit(),
                slots,
                serviceMillis * GateSimulation.MILLI_NANOS,
                slowdown,
                seed + i);
        simulation.run();
        add(simulation);
      }
      System.out.printf(
          "slots=%d service=%.0fms slowdown=%.0f goodput=%.3f critical=%.3f important=%.3f"
              + " normal=%.3f background=%.3f recovered=%.3f%n",
          slots,
          serviceMillis,
          slowdown,
          goodput,
          surgeShares[3],
          surgeShares[2],
          surgeShares[1],
          surgeShares[0],
          recoveredShare);
    }

    private void add(GateSimulation simulation) {
      for (int kind = 0; kind < surgeShares.length; kind++) {
        surgeShares[kind] +=
            simulation.answeredInTimeShare(
                    kind, GateSimulation.SURGE_START_SECOND, GateSimulation.SURGE_END_SECOND)
                / RUNS;
      }
      goodput +=
          simulation.goodput(GateSimulation.SURGE_START_SECOND, GateSimulation.SURGE_END_SECOND)
              / RUNS;
      recoveredShare +=
          simulation.answeredInTimeShare(
                  0, GateSimulation.SURGE_END_SECOND + 2, GateSimulation.DURATION_SECONDS)
              / RUNS;
    }
  }

  /**
   * Guards against shedding important calls while less important ones run, against a limit or level
   * that reduces goodput, and against an overload that lasts more than 2 s after its cause. With a
   * slowdown, the target also becomes slower during the surge.
   */
  @ParameterizedTest
  @CsvSource({
    "15,20,1",
    "15,100,1",
    "45,20,1",
    "45,50,1",
    "90,20,1",
    "90,100,1",
    "15,50,2",
    "45,50,2",
    "90,50,2"
  })
  void surgeShedsLeastImportantCallsAndRecovers(int slots, double serviceMillis, double slowdown) {
    Result result = new Result(slots, serviceMillis, slowdown);

    assertThat(result.surgeShares[3]).isGreaterThanOrEqualTo(0.95);
    assertThat(result.surgeShares[2]).isGreaterThanOrEqualTo(0.95);
    assertThat(result.surgeShares[1]).isGreaterThan(result.surgeShares[0]);
    assertThat(result.goodput).isGreaterThanOrEqualTo(0.90);
    assertThat(result.recoveredShare).isGreaterThanOrEqualTo(0.95);
  }
}
