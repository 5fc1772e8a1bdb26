package dev.arbutusroad.bench.membership;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.settings.SharedSecret;
import dev.arbutusroad.node.membership.MembershipAgent;
import dev.arbutusroad.node.membership.MembershipOptions;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Measures the CPU time, heap and network traffic of one member with real sockets.
 *
 * <p>Arguments: seconds to measure, changes per second, and one or more cluster sizes. The other
 * members are stand-ins behind one socket that send acknowledgements, probes and changes at the
 * rates of a cluster of that size.
 */
public final class MemberCost {
  /** IPv4 and UDP headers, which are added to the size of each datagram. */
  private static final int DATAGRAM_HEADER_BYTES = 28;

  /** Longer than the dissemination of the initial changes takes. */
  private static final int WARM_UP_SECONDS = 45;

  private static final SharedSecret SECRET = new SharedSecret("0123456789abcdef0123456789abcdef");

  private MemberCost() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    int seconds = Integer.parseInt(args[0]);
    double changesPerSecond = Double.parseDouble(args[1]);
    for (int i = 2; i < args.length; i++) {
      measure(seconds, changesPerSecond, Integer.parseInt(args[i]));
    }
  }

  private static void measure(int seconds, double changesPerSecond, int members)
      throws IOException, InterruptedException {
    try (StandInMembers standIns = new StandInMembers(members - 1, changesPerSecond, SECRET)) {
      long heapBefore = usedHeap();
      Set<Long> threadsBefore = threads();
      MembershipAgent agent = startMember();
      standIns.start(agent.self().peerAddress());
      TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
      Set<Long> memberThreads = threads();
      memberThreads.removeAll(threadsBefore);
      memberThreads.removeAll(standIns.threadIds());
      Map<String, Long> trafficBefore = agent.traffic();
      long cpuBefore = cpuNanos(memberThreads);
      TimeUnit.SECONDS.sleep(seconds);
      long cpu = cpuNanos(memberThreads) - cpuBefore;
      Map<String, Long> trafficAfter = agent.traffic();
      long heap = usedHeap() - heapBefore;
      System.out.printf(
          Locale.ROOT,
          "members=%d known=%d changesPerSecond=%.2f cpuPercentOfCore=%.3f heapMB=%.2f"
              + " sentBytesPerSecond=%d receivedBytesPerSecond=%d"
              + " sentPerSecond=%.1f receivedPerSecond=%.1f%n",
          members,
          agent.view().all().size(),
          changesPerSecond,
          100.0 * cpu / TimeUnit.SECONDS.toNanos(seconds),
          heap / 1e6,
          byteCount(trafficBefore, trafficAfter, "Sent") / seconds,
          byteCount(trafficBefore, trafficAfter, "Received") / seconds,
          (double) delta(trafficBefore, trafficAfter, "datagramsSent") / seconds,
          (double) delta(trafficBefore, trafficAfter, "datagramsReceived") / seconds);
      agent.close();
    }
  }

  private static MembershipAgent startMember() throws IOException {
    InetSocketAddress ephemeralAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    InetSocketAddress callerAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Member self =
        new Member(
            "measured",
            1,
            "",
            "region-0",
            "domain-0",
            callerAddress,
            ephemeralAddress,
            MemberState.JOINING,
            0);
    MembershipAgent agent =
        MembershipAgent.start(
            new MembershipOptions(self, ephemeralAddress, List.of(), SECRET, Optional.empty()));
    agent.announce("service-0");
    return agent;
  }

  private static long byteCount(
      Map<String, Long> before, Map<String, Long> after, String direction) {
    return delta(before, after, "datagramBytes" + direction)
        + DATAGRAM_HEADER_BYTES * delta(before, after, "datagrams" + direction)
        + delta(before, after, "streamBytes" + direction);
  }

  private static long delta(Map<String, Long> before, Map<String, Long> after, String name) {
    return after.get(name) - before.get(name);
  }

  private static Set<Long> threads() {
    Set<Long> ids = new TreeSet<>();
    for (long id : ManagementFactory.getThreadMXBean().getAllThreadIds()) {
      ids.add(id);
    }
    return ids;
  }

  private static long cpuNanos(Set<Long> threads) {
    ThreadMXBean bean = ManagementFactory.getThreadMXBean();
    return threads.stream().mapToLong(bean::getThreadCpuTime).sum();
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
