package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.testing.Seeds;
import org.junit.jupiter.api.Test;

/**
 * Simulates 1.5 times the capacity of a service that is called by clients directly and by running
 * requests of the same importance.
 */
final class SharedServiceTest {
  /** A kind of request starves if its served share is below a quarter of that of all requests. */
  private static final double STARVATION_FACTOR = 0.25;

  /** The required work of served requests under overload, as a share of the capacity. */
  private static final double MIN_GOODPUT = 0.9;

  private static final int RUNS = 10;

  /** The results of one ranking, as means over several runs. */
  private static final class Outcome {
    double direct;
    double chained;
    double refusedMidway;
    double all;
    double goodput;

    Outcome(SharedServiceSimulation.Ranking ranking) {
      long seed = Seeds.seed("SharedServiceTest");
      for (int run = 0; run < RUNS; run++) {
        SharedServiceSimulation simulation = new SharedServiceSimulation(ranking, seed + run);
        simulation.run();
        direct += simulation.directServedShare() / RUNS;
        chained += simulation.chainedServedShare() / RUNS;
        refusedMidway += simulation.refusedMidwayShare() / RUNS;
        all += simulation.servedShare() / RUNS;
        goodput += simulation.goodput() / RUNS;
      }
      System.out.printf(
          "%s: direct %.2f chained %.2f broken %.2f goodput %.2f%n",
          ranking.getClass().getSimpleName(), direct, chained, refusedMidway, goodput);
    }
  }

  /** Guards against starvation of direct requests by the child calls of running requests. */
  @Test
  void directRequestsAreServedBesideChildCalls() {
    Outcome strict = new Outcome(new SharedServiceSimulation.Strict());
    assertThat(strict.direct).isLessThan(STARVATION_FACTOR * strict.all);

    Outcome lead = new Outcome(new SharedServiceSimulation.Lead());
    assertThat(lead.direct).isGreaterThan(2 * STARVATION_FACTOR * lead.all);
    assertThat(lead.chained).isGreaterThan(2 * STARVATION_FACTOR * lead.all);
  }

  /** Guards against work that is wasted because a later call of the same request is refused. */
  @Test
  void runningRequestsAreRefusedLessOftenThanWithEqualRanks() {
    Outcome equal = new Outcome(new SharedServiceSimulation.Equal());
    Outcome lead = new Outcome(new SharedServiceSimulation.Lead());
    assertThat(lead.refusedMidway).isLessThan(equal.refusedMidway);
    assertThat(lead.goodput).isGreaterThan(MIN_GOODPUT);
  }
}
