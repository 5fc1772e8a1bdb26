package dev.arbutusroad.bench.node;

import dev.arbutusroad.bench.membership.StandInMembers;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.settings.SharedSecret;
import dev.arbutusroad.tools.platform.PlatformStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Compares the processor time of two builds of a node that is exit and gate of every call, with
 * runs of both in turn.
 *
 * <p>Arguments: the checkouts of the earlier and the present build, the number of runs of each, the
 * calls a second, and the number of members.
 */
public final class NodeCost {
  private static final int WORK_MILLIS = 30;
  private static final int REST_SECONDS = 5;

  /** The compiler has translated nearly all of the path of a call after this time. */
  private static final int COLD_SECONDS = 5;

  private static final int WARM_SECONDS = 10;
  private static final int FIRST_PORT = 21_000;
  private static final int PORTS_OF_RUN = 10;

  private static final String[] COLUMNS = {
    "start ms", "rest ms/s", "call cold ms", "call warm ms", "peak MB"
  };

  private final Path present;
  private final int ratePerSecond;
  private final int members;
  private int nextPort = FIRST_PORT;

  private NodeCost(Path present, int ratePerSecond, int members) {
    this.present = present;
    this.ratePerSecond = ratePerSecond;
    this.members = members;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    Path before = Path.of(args[0]);
    Path after = Path.of(args[1]);
    int runs = Integer.parseInt(args[2]);
    NodeCost cost = new NodeCost(after, Integer.parseInt(args[3]), Integer.parseInt(args[4]));
    double[][] earlier = new double[runs][];
    double[][] present = new double[runs][];
    for (int run = 0; run < runs; run++) {
      earlier[run] = cost.measure(before);
      present[run] = cost.measure(after);
    }
    print(earlier, present);
  }

  private double[] measure(Path root) throws IOException, InterruptedException {
    int port = nextPort;
    nextPort += PORTS_OF_RUN;
    try (Closer closer = new Closer()) {
      closer.register(PlatformStandIn.start(Addresses.of("127.0.0.1", port)));
      FixedTarget target = closer.register(new FixedTarget(WORK_MILLIS));
      applyConfiguration(port);
      NodeProcessUnderTest node = closer.register(new NodeProcessUnderTest(root, port, port + 1));
      double startMillis = node.cpuMillis();
      StandInMembers others =
          closer.register(
              new StandInMembers(members - 1, 0, new SharedSecret(NodeProcessUnderTest.SECRET)));
      if (members > 1) {
        others.start(Addresses.of("127.0.0.1", node.peerPort()));
      }
      node.announce(target.port());
      double restMillis = cpuDuring(node, target, REST_SECONDS) / REST_SECONDS;
      PacedCallers callers = new PacedCallers(node.callerPort(), ratePerSecond);
      callers.start();
      double coldMillis = cpuDuring(node, target, COLD_SECONDS);
      double coldCalls = callers.answered();
      double warmMillis = cpuDuring(node, target, WARM_SECONDS);
      double warmCalls = callers.answered() - coldCalls;
      callers.stop();
      if (callers.failed() > 0) {
        System.out.printf("%d calls failed%n", callers.failed());
      }
      return new double[] {
        startMillis,
        restMillis,
        coldMillis / coldCalls,
        warmMillis / warmCalls,
        node.peakKilobytes() / 1_024.0
      };
    }
  }

  private void applyConfiguration(int platformPort) throws IOException, InterruptedException {
    Process apply =
        new ProcessBuilder(
                "java",
                "-jar",
                "target/arbutusroad.jar",
                "config",
                "apply",
                "--platform",
                "127.0.0.1:" + platformPort,
                "--author",
                "node-cost",
                "config/quickstart/configuration.json")
            .directory(present.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    if (apply.waitFor() != 0) {
      throw new IOException("the configuration was not accepted");
    }
  }

  private static double cpuDuring(NodeProcessUnderTest node, FixedTarget target, int seconds)
      throws IOException, InterruptedException {
    long before = node.cpuMillis();
    for (int second = 0; second < seconds; second++) {
      node.announce(target.port());
      TimeUnit.SECONDS.sleep(1);
    }
    return node.cpuMillis() - before;
  }

  private static void print(double[][] earlier, double[][] present) {
    System.out.printf("%-14s %26s %26s %7s%n", "", "earlier", "present", "ratio");
    for (int column = 0; column < COLUMNS.length; column++) {
      double[] before = sorted(earlier, column);
      double[] after = sorted(present, column);
      System.out.printf(
          Locale.ROOT,
          "%-14s %26s %26s %7.2f%n",
          COLUMNS[column],
          spread(before),
          spread(after),
          median(after) / median(before));
    }
  }

  private static double[] sorted(double[][] runs, int column) {
    return Arrays.stream(runs).mapToDouble(run -> run[column]).sorted().toArray();
  }

  private static double median(double[] sorted) {
    return sorted[sorted.length / 2];
  }

  private static String spread(double[] sorted) {
    return String.format(
        Locale.ROOT, "%.2f (%.2f to %.2f)", median(sorted), sorted[0], sorted[sorted.length - 1]);
  }
}
