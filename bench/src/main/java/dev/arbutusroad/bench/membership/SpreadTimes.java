package dev.arbutusroad.bench.membership;

import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.membership.MemoryNetwork;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Measures in simulated time how long changes take to reach every member.
 *
 * <p>Arguments: seed, datagram loss, and one or more cluster sizes. All members are real protocol
 * instances on an in-memory network with delays of up to 2 ms.
 */
public final class SpreadTimes {
  private static final int RUNS = 5;
  private static final long TIMEOUT_MILLIS = 60_000;
  private static final int CLUSTER_POLLS_PER_SECOND = 95;
  private static final long MAX_POLL_INTERVAL_MILLIS = 20_000;
  private static final long MIN_POLL_INTERVAL_MILLIS = 1_000;
  private static final int AGE_SAMPLING_SECONDS = 40;

  private SpreadTimes() {}

  public static void main(String[] args) {
    long seed = Long.parseLong(args[0]);
    double loss = Double.parseDouble(args[1]);
    System.out.printf(
        Locale.ROOT,
        "seed=%d loss=%.2f runs=%d, times in ms: min/max over the runs%n",
        seed,
        loss,
        RUNS);
    for (int i = 2; i < args.length; i++) {
      measure(seed, loss, Integer.parseInt(args[i]));
    }
  }

  private static void measure(long seed, double loss, int members) {
    MemoryNetwork network = new MemoryNetwork(seed);
    List<MemoryNetwork.Node> nodes = network.formedCluster(members);
    network.loss(loss);
    Random random = new Random(seed);
    long idleBytesPerSecond = datagramBytesPerSecond(network, nodes, 10);
    List<Long> leaving = new ArrayList<>();
    List<Long> configuration = new ArrayList<>();
    List<Long> death = new ArrayList<>();
    for (int run = 0; run < RUNS; run++) {
      MemoryNetwork.Node leavingNode = randomActiveNode(nodes, random);
      leavingNode.protocol().leave();
      leaving.add(
          network.runUntil(
              () -> network.observers(leavingNode.id(), MemberState.LEAVING) >= running(nodes),
              TIMEOUT_MILLIS));
      long version = run + 1L;
      randomActiveNode(nodes, random).confirm(version);
      configuration.add(
          network.runUntil(
              () ->
                  nodes.stream()
                      .filter(MemoryNetwork.Node::isRunning)
                      .allMatch(node -> node.version() == version),
              TIMEOUT_MILLIS));
      MemoryNetwork.Node killedNode = randomActiveNode(nodes, random);
      killedNode.kill();
      death.add(
          network.runUntil(
              () -> network.observers(killedNode.id(), MemberState.DEAD) >= running(nodes),
              TIMEOUT_MILLIS));
    }
    int falseDeaths = network.falseDeaths().size();
    System.out.printf(
        Locale.ROOT,
        "members=%d leaving=%s configuration=%s death=%s confirmationAge=%s"
            + " falseDeaths=%d idleDatagramBytesPerSecond=%d%n",
        members,
        minAndMax(leaving),
        minAndMax(configuration),
        minAndMax(death),
        confirmationAges(network, nodes),
        falseDeaths,
        idleBytesPerSecond);
  }

  /**
   * Returns the least and the largest of the maximum confirmation ages in milliseconds, sampled
   * every second while all members poll the table service at the interval for the cluster size.
   */
  private static String confirmationAges(MemoryNetwork network, List<MemoryNetwork.Node> nodes) {
    long unboundedIntervalMillis =
        MIN_POLL_INTERVAL_MILLIS * nodes.size() / CLUSTER_POLLS_PER_SECOND;
    long intervalMillis =
        Math.max(
            MIN_POLL_INTERVAL_MILLIS, Math.min(MAX_POLL_INTERVAL_MILLIS, unboundedIntervalMillis));
    Random random = new Random(nodes.size());
    for (MemoryNetwork.Node node : nodes) {
      long phaseMillis = random.nextInt((int) intervalMillis);
      network.every(phaseMillis, intervalMillis, () -> node.confirm(RUNS));
    }
    network.run(2 * intervalMillis);
    List<Long> maxAgesMillis = new ArrayList<>();
    for (int second = 0; second < AGE_SAMPLING_SECONDS; second++) {
      network.run(1_000);
      maxAgesMillis.add(
          nodes.stream()
              .filter(MemoryNetwork.Node::isRunning)
              .mapToLong(MemoryNetwork.Node::confirmationAgeMillis)
              .max()
              .orElseThrow());
    }
    return minAndMax(maxAgesMillis);
  }

  /** Returns a random node that runs and is not leaving. */
  private static MemoryNetwork.Node randomActiveNode(
      List<MemoryNetwork.Node> nodes, Random random) {
    MemoryNetwork.Node node = nodes.get(random.nextInt(nodes.size()));
    boolean active = node.isRunning() && node.protocol().self().state() != MemberState.LEAVING;
    return active ? node : randomActiveNode(nodes, random);
  }

  private static long running(List<MemoryNetwork.Node> nodes) {
    return nodes.stream().filter(MemoryNetwork.Node::isRunning).count();
  }

  private static long datagramBytesPerSecond(
      MemoryNetwork network, List<MemoryNetwork.Node> nodes, int seconds) {
    long before = nodes.stream().mapToLong(MemoryNetwork.Node::datagramBytes).sum();
    network.run(seconds * 1_000L);
    long after = nodes.stream().mapToLong(MemoryNetwork.Node::datagramBytes).sum();
    return (after - before) / seconds / nodes.size();
  }

  private static String minAndMax(List<Long> values) {
    return values.stream().mapToLong(Long::longValue).min().orElseThrow()
        + "/"
        + values.stream().mapToLong(Long::longValue).max().orElseThrow();
  }
}
