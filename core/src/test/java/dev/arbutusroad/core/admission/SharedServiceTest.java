package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.testing.Seeds;
import org.junit.jupiter.api.Test;

/**
 * Plays 1.5 times the load of a service that clients call directly and that running requests of the
 * same importance call as well.
 */
final class SharedServiceTest {
  /** A kind that is served less than a quarter as often as all counts as starved. */
  private static final double STARVED = 0.25;

  /** The target for the work of served requests under overload, as a share of the capacity. */
  private static final double GOODPUT = 0.9;

  private static final int RUNS = 10;

  /** The means over some runs of one ranking. */
  private static final class Outcome {
    double direct;
    double chained;
    double broken;
    double all;
    double goodput;

    Outcome(SharedServiceSimulation.Ranking ranking) {
      long seed = Seeds.seed("SharedServiceTest");
      for (int run = 0; run < RUNS; run++) {
        SharedServiceSimulation one = new SharedServiceSimulation(ranking, seed + run);
        one.run();
        direct += one.directShare() / RUNS;
        chained += one.chainedShare() / RUNS;
        broken += one.brokenShare() / RUNS;
        all += one.share() / RUNS;
        goodput += one.goodput() / RUNS;
      }
      System.out.printf(
          "%s: direct %.2f chained %.2f broken %.2f goodput %.2f%n",
          ranking.getClass().getSimpleName(), direct, chained, broken, goodput);
    }
  }

  /** Guards against clients' requests that are never served beside calls of running requests. */
  @Test
  void clientsAreServedBesideCallsOfRunningRequests() {
    Outcome strict = new Outcome(new SharedServiceSimulation.Strict());
    assertThat(strict.direct).isLessThan(STARVED * strict.all);

    Outcome lead = new Outcome(new SharedServiceSimulation.Lead());
    assertThat(lead.direct).isGreaterThan(2 * STARVED * lead.all);
    assertThat(lead.chained).isGreaterThan(2 * STARVED * lead.all);
  }

  /** Guards against work that is wasted, as later calls of its request are refused. */
  @Test
  void runningRequestsAreRarelyRefused() {
    Outcome equal = new Outcome(new SharedServiceSimulation.Equal());
    Outcome lead = new Outcome(new SharedServiceSimulation.Lead());
    assertThat(lead.broken).isLessThan(equal.broken);
    assertThat(lead.goodput).isGreaterThan(GOODPUT);
  }
}
