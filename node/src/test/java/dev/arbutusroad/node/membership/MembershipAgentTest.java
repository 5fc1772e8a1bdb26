package dev.arbutusroad.node.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.membership.FingerprintKind;
import dev.arbutusroad.core.membership.FingerprintReport;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.settings.SharedSecret;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class MembershipAgentTest {
  private static final SharedSecret SECRET = new SharedSecret("the secret of the installation 01");
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final Closer closer = new Closer();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /**
   * Guards against members that do not discover each other, that keep sending to a leaving member,
   * or that do not send to a restarted target.
   */
  @Test
  void membersJoinAnnounceAndLeaveOverSockets() throws IOException {
    MembershipAgent first = start("first", List.of(), SECRET);
    List<InetSocketAddress> seeds = List.of(first.self().peerAddress());
    MembershipAgent second = start("second", seeds, SECRET);
    MembershipAgent third = start("third", seeds, SECRET);

    second.announce("orders");
    third.announce("orders");
    for (MembershipAgent agent : List.of(first, second, third)) {
      await(() -> agent.view().serving("orders").size() == 2);
    }

    third.markTargetLeaving();
    await(() -> first.view().serving("orders").size() == 1);
    third.announce("orders");
    await(() -> first.view().serving("orders").size() == 2);

    second.leave();
    second.announce("orders");
    for (MembershipAgent agent : List.of(first, second, third)) {
      await(() -> agent.view().serving("orders").size() == 1);
    }
    assertThat(third.view().serving("orders").get(0).id()).isEqualTo("third");
    assertThat(first.isStale()).isFalse();
    assertThat(third.dump()).containsKeys("self", "members", "traffic");

    second.close();
    await(() -> first.view().all().size() == 2 && third.view().all().size() == 2);
  }

  /** Guards against a peer's newer configuration or fingerprint report that never arrives. */
  @Test
  void configurationAndFingerprintsReachPeers() throws Exception {
    MembershipAgent first = start("first", List.of(), SECRET);
    MembershipAgent second = start("second", List.of(first.self().peerAddress()), SECRET);
    ConcurrentLinkedQueue<Long> versions = new ConcurrentLinkedQueue<>();
    ConcurrentLinkedQueue<FingerprintReport> reports = new ConcurrentLinkedQueue<>();
    first.connectConfiguration(new FixedSource(7, "{}"), (id, address, version, age) -> {});
    second.connectConfiguration(
        ConfigurationSource.NONE, (id, address, version, age) -> versions.add(version));
    second.addFingerprintListener(reports::add);

    await(() -> versions.contains(7L));
    InetSocketAddress peer = first.self().peerAddress();
    assertThat(second.fetchDocument(peer, 7).get(5, TimeUnit.SECONDS))
        .map(PeerDocument::document)
        .contains("{}");
    assertThat(second.fetchDocument(peer, 8).get(5, TimeUnit.SECONDS)).isEmpty();

    first.reportFingerprint(new FingerprintReport(-5, FingerprintKind.MARKED, 2, 0));
    await(() -> reports.stream().anyMatch(report -> report.value() == -5));
  }

  /** Guards against a peer without the secret that injects members, reads the state or joins. */
  @Test
  void peersWithoutTheSecretAreRefused() throws IOException {
    MembershipAgent first = start("first", List.of(), SECRET);
    InetSocketAddress address = first.self().peerAddress();
    MembershipAgent outsider =
        start("outsider", List.of(address), new SharedSecret("the secret of another cluster 0002"));

    try (DatagramSocket socket = new DatagramSocket()) {
      byte[] garbage = new byte[100];
      socket.send(new DatagramPacket(garbage, garbage.length, address));
    }
    await(() -> traffic(first, "datagramsWrongMac") == 1);

    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      in.readFully(new byte[in.readInt()]);
      // A state request without a preceding hello: the peer must close the connection.
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.write(new byte[] {0, 0, 0, 2, 0x22, 0});
      assertThat(in.read()).isEqualTo(-1);
    }
    await(() -> traffic(first, "connectionsRefused") >= 2);
    await(() -> traffic(outsider, "exchangesFailed") >= 1);
    assertThat(first.view().all()).hasSize(1);
    assertThat(outsider.hasJoined()).isFalse();
  }

  private MembershipAgent start(String id, List<InetSocketAddress> seeds, SharedSecret secret)
      throws IOException {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    InetSocketAddress caller = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Member self =
        new Member(id, 1, "", "south", "south-a", caller, anyPort, MemberState.JOINING, 0);
    return closer.register(
        MembershipAgent.start(
            new MembershipOptions(self, anyPort, seeds, secret, Optional.empty())));
  }

  private static long traffic(MembershipAgent agent, String name) {
    return agent.traffic().get(name);
  }

  private static void await(BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() - start).as("nanoseconds waited").isLessThan(TIMEOUT_NANOS);
      Thread.onSpinWait();
    }
  }

  private record FixedSource(long version, String text) implements ConfigurationSource {
    @Override
    public Optional<String> document() {
      return Optional.of(text);
    }

    @Override
    public long confirmationAgeMillis() {
      return 0;
    }
  }
}
