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
 * Compares the CPU time and peak memory of two builds of the node. One node is both the exit and
 * the gate of every call, and runs of the two builds alternate.
 *
 * <p>Arguments: the checkout of the earlier build, the checkout of the present build, the number of
 * runs of each, the calls per second, and the number of cluster members including the node.
 */
public final class NodeCost {
  private static final int TARGET_LATENCY_MILLIS = 30;
  private static final int IDLE_SECONDS = 5;

  /** After this time the JIT compiler has compiled nearly all code on the path of a call. */
  private static final int COLD_SECONDS = 5;

  private static final int WARM_SECONDS = 10;
  private static final int FIRST_PORT = 21_000;
  private static final int PORTS_PER_RUN = 10;

  private static final String[] COLUMNS = {
    "start ms", "rest ms/s", "call cold ms", "call warm ms", "peak MB"
  };

  private final Path cliRoot;
  private final int ratePerSecond;
  private final int members;
  private int nextPort = FIRST_PORT;

  private NodeCost(Path cliRoot, int ratePerSecond, int members) {
    this.cliRoot = cliRoot;
    this.ratePerSecond = ratePerSecond;
    this.members = members;
  }

  public static void main(String[] args) throws IOException, InterruptedException {
    Path earlierRoot = Path.of(args[0]);
    Path presentRoot = Path.of(args[1]);
    int runs = Integer.parseInt(args[2]);
    NodeCost cost = new NodeCost(presentRoot, Integer.parseInt(args[3]), Integer.parseInt(args[4]));
    double[][] earlierRuns = new double[runs][];
    double[][] presentRuns = new double[runs][];
    for (int run = 0; run < runs; run++) {
      earlierRuns[run] = cost.measure(earlierRoot);
      presentRuns[run] = cost.measure(presentRoot);
    }
    print(earlierRuns, presentRuns);
  }

  /** Returns the measurements of one run in the order of {@code COLUMNS}. */
  private double[] measure(Path root) throws IOException, InterruptedException {
    int port = nextPort;
    nextPort += PORTS_PER_RUN;
    try (Closer closer = new Closer()) {
      closer.register(PlatformStandIn.start(Addresses.of("127.0.0.1", port)));
      FixedTarget target = closer.register(new FixedTarget(TARGET_LATENCY_MILLIS));
      applyConfiguration(port);
      NodeProcessUnderTest node = closer.register(new NodeProcessUnderTest(root, port, port + 1));
      double startMillis = node.cpuMillis();
      StandInMembers otherMembers =
          closer.register(
              new StandInMembers(members - 1, 0, new SharedSecret(NodeProcessUnderTest.SECRET)));
      if (members > 1) {
        otherMembers.start(Addresses.of("127.0.0.1", node.peerPort()));
      }
      node.announce(target.port());
      double idleMillisPerSecond = cpuMillisDuring(node, target, IDLE_SECONDS) / IDLE_SECONDS;
      PacedCallers callers = new PacedCallers(node.callerPort(), ratePerSecond);
      callers.start();
      double coldMillis = cpuMillisDuring(node, target, COLD_SECONDS);
      double coldCalls = callers.answered();
      double warmMillis = cpuMillisDuring(node, target, WARM_SECONDS);
      double warmCalls = callers.answered() - coldCalls;
      callers.stop();
      if (callers.failed() > 0) {
        System.out.printf("%d calls failed%n", callers.failed());
      }
      return new double[] {
        startMillis,
        idleMillisPerSecond,
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
            .directory(cliRoot.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    if (apply.waitFor() != 0) {
      throw new IOException("config apply failed for config/quickstart/configuration.json");
    }
  }

  /** Returns the CPU time that the node uses while the target is announced every second. */
  private static double cpuMillisDuring(NodeProcessUnderTest node, FixedTarget target, int seconds)
      throws IOException, InterruptedException {
    long initialCpuMillis = node.cpuMillis();
    for (int second = 0; second < seconds; second++) {
      node.announce(target.port());
      TimeUnit.SECONDS.sleep(1);
    }
    return node.cpuMillis() - initialCpuMillis;
  }

  private static void print(double[][] earlierRuns, double[][] presentRuns) {
    System.out.printf("%-14s %26s %26s %7s%n", "", "earlier", "present", "ratio");
    for (int column = 0; column < COLUMNS.length; column++) {
      double[] earlier = sorted(earlierRuns, column);
      double[] present = sorted(presentRuns, column);
      System.out.printf(
          Locale.ROOT,
          "%-14s %26s %26s %7.2f%n",
          COLUMNS[column],
          medianAndRange(earlier),
          medianAndRange(present),
          median(present) / median(earlier));
    }
  }

  private static double[] sorted(double[][] runs, int column) {
    return Arrays.stream(runs).mapToDouble(run -> run[column]).sorted().toArray();
  }

  private static double median(double[] sorted) {
    return sorted[sorted.length / 2];
  }

  private static String medianAndRange(double[] sorted) {
    return String.format(
        Locale.ROOT, "%.2f (%.2f to %.2f)", median(sorted), sorted[0], sorted[sorted.length - 1]);
  }
}
