package dev.arbutusroad.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class MembershipProtocolTest {
  private final long seed = Long.getLong("arbutusroad.seed", System.nanoTime());
  private final MemoryNetwork network = new MemoryNetwork(seed);

  @BeforeEach
  void printSeed() {
    System.out.println("MembershipProtocolTest -Darbutusroad.seed=" + seed);
  }

  /** Guards against nodes that still send new calls to a target 3 s after it started to leave. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.05, 0.2})
  void leavingMembersAreKnownEverywhereWithinThreeSeconds(double loss) {
    List<MemoryNetwork.Node> nodes = network.cluster(100);
    network.loss(loss);
    network.run(5_000);
    List<MemoryNetwork.Node> leaving = List.of(nodes.get(0), nodes.get(50), nodes.get(99));
    leaving.forEach(node -> node.protocol().leave());

    long tookMillis =
        network.runUntil(
            () -> nodes.stream().noneMatch(node -> leaving.stream().anyMatch(node::sees)), 3_000);

    assertThat(tookMillis).isLessThanOrEqualTo(3_000);
  }

  /** Guards against dead members that stay in the view and live members declared dead. */
  @Test
  void onlyDeadMembersDisappear() {
    List<MemoryNetwork.Node> nodes = network.cluster(60);
    network.loss(0.05);
    nodes.subList(10, 15).forEach(MemoryNetwork.Node::kill);

    assertThat(network.runUntil(network::allAgree, 30_000)).isLessThanOrEqualTo(30_000);

    network.run(60_000);
    assertThat(network.falseDeaths()).isEmpty();
    assertThat(network.allAgree()).isTrue();
  }

  /** Guards against sides that do not merge, or lose members, after a network partition heals. */
  @Test
  void sidesMergeAfterPartitionHeals() {
    List<MemoryNetwork.Node> nodes = network.cluster(60);
    network.partitionBelow(20);
    network.run(120_000);
    for (MemoryNetwork.Node node : nodes) {
      boolean low = nodes.indexOf(node) < 20;
      assertThat(node.servingIds()).as(node.id()).hasSize(low ? 20 : 40);
    }
    nodes.get(5).protocol().withdraw();

    network.partitionBelow(0);
    long tookMillis =
        network.runUntil(
            () -> nodes.stream().allMatch(node -> node.servingIds().size() == 59), 60_000);
    assertThat(tookMillis).isLessThanOrEqualTo(60_000);
    assertThat(nodes.get(40).protocol().view().all()).hasSize(60);
  }

  /** Guards against a resumed node that serves from a stale view or declares others dead. */
  @ParameterizedTest
  @ValueSource(longs = {2_500, 20_000})
  void pausedMemberRejoinsBeforeItServes(long pauseMillis) {
    List<MemoryNetwork.Node> nodes = network.cluster(40);
    MemoryNetwork.Node paused = nodes.get(7);
    long incarnation = paused.protocol().self().incarnation();
    paused.pause(pauseMillis);
    network.run(100);
    nodes.get(20).kill();
    nodes.get(30).protocol().leave();
    network.run(pauseMillis - 500);
    assertThat(paused.sees(nodes.get(30))).as("stale view before the first step").isTrue();

    network.runUntil(() -> paused.protocol().isStale(), 1_000);
    assertThat(paused.protocol().isStale()).as("stale after the pause").isTrue();
    long tookMillis = network.runUntil(() -> !paused.protocol().isStale(), 5_000);

    assertThat(tookMillis).isLessThanOrEqualTo(5_000);
    assertThat(paused.sees(nodes.get(30))).as("leaving member after catching up").isFalse();
    assertThat(paused.protocol().self().incarnation()).isGreaterThan(incarnation);
    network.run(20_000);
    assertThat(network.falseDeaths()).isEmpty();
    assertThat(network.running()).allMatch(node -> node.sees(paused));
    assertThat(network.running()).noneMatch(node -> node.sees(nodes.get(20)));
  }

  /** Guards against members that do not refute a wrong SUSPECT or DEAD record. */
  @ParameterizedTest
  @ValueSource(strings = {"SUSPECT", "DEAD"})
  void memberRefutesMistakenClaims(String state) {
    List<MemoryNetwork.Node> nodes = network.cluster(30);
    Member victim = nodes.get(3).protocol().self();
    Member wrongRecord = victim.withState(MemberState.valueOf(state));
    nodes.get(9).protocol().receivePush(List.of(wrongRecord));

    network.run(10_000);

    assertThat(nodes.get(3).protocol().self().incarnation()).isGreaterThan(victim.incarnation());
    assertThat(network.allAgree()).as("%s", network.changesAbout(victim.id())).isTrue();
  }

  /** Guards against calls to a process that was replaced by another at the same address. */
  @Test
  void restartedMemberReplacesItsPredecessor() {
    List<MemoryNetwork.Node> nodes = network.cluster(30);
    nodes.get(4).kill();
    network.add(4, 1, List.of(MemoryNetwork.address(0))).protocol().announce(MemoryNetwork.SERVICE);

    assertThat(network.runUntil(network::allAgree, 10_000)).isLessThanOrEqualTo(10_000);
  }

  /** Guards against views that do not converge after a random sequence of faults has ended. */
  @Test
  void viewsAgreeAfterRandomFaults() {
    Random random = new Random(seed);
    int hosts = 24;
    List<MemoryNetwork.Node> nodes = new ArrayList<>(network.cluster(hosts));
    List<InetSocketAddress> seeds = List.of(MemoryNetwork.address(0), MemoryNetwork.address(23));
    int[] generations = new int[hosts];
    for (int round = 0; round < 60; round++) {
      int host = random.nextInt(hosts);
      switch (random.nextInt(6)) {
        case 0 -> network.loss(random.nextDouble() * 0.3);
        case 1 -> network.partitionBelow(random.nextInt(hosts));
        case 2 -> nodes.get(host).pause(random.nextInt(15_000));
        case 3 -> nodes.get(host).kill();
        case 4 -> {
          nodes.get(host).protocol().leave();
          network.run(random.nextInt(4_000));
          nodes.get(host).protocol().depart();
          nodes.get(host).kill();
        }
        default -> network.loss(0);
      }
      network.run(random.nextInt(8_000));
      if (!nodes.get(host).isRunning() && random.nextBoolean()) {
        nodes.set(host, network.add(host, ++generations[host], seeds));
        nodes.get(host).protocol().announce(MemoryNetwork.SERVICE);
      }
    }
    network.loss(0);
    network.partitionBelow(0);

    long limitMillis = 180_000;
    assertThat(network.runUntil(network::allAgree, limitMillis)).isLessThanOrEqualTo(limitMillis);
  }
}
