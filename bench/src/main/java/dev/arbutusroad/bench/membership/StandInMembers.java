package dev.arbutusroad.bench.membership;

import dev.arbutusroad.core.membership.AdvertisedConfiguration;
import dev.arbutusroad.core.membership.Gossip;
import dev.arbutusroad.core.membership.GossipKind;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.settings.SharedSecret;
import dev.arbutusroad.node.membership.DatagramSeal;
import dev.arbutusroad.wire.GossipCodec;
import dev.arbutusroad.wire.MalformedMessageException;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates the other members of a cluster with one loopback socket; each member has its own id and
 * its own address in 127.0.0.0/8.
 *
 * <p>The measured member receives the datagrams that it would receive in a cluster of that size:
 * one probe per second, an acknowledgement of each of its probes, and each change as often as
 * members retransmit it.
 */
public final class StandInMembers implements AutoCloseable {
  private static final int RECORDS_PER_DATAGRAM = 6;
  private static final int SERVICES = 110;
  private static final int DOMAINS = 11;
  private static final int REGIONS = 5;
  private static final int RECEIVE_BUFFER_BYTES = 2_048;
  private static final long GOSSIP_INTERVAL_MILLIS = 200;
  private static final int FANOUT = 3;

  private final double changesPerSecond;
  private final DatagramSeal sendSeal;
  private final DatagramSeal receiveSeal;
  private final DatagramSocket socket;
  private final List<Member> members = new ArrayList<>();
  private final AtomicLong counter = new AtomicLong();
  private final Random random = new Random(1);
  private final Thread sender = new Thread(this::send, "stand-in-sender");
  private final Thread receiver = new Thread(this::receive, "stand-in-receiver");
  private volatile InetSocketAddress measuredAddress;
  private volatile boolean stopping;

  /**
   * Opens the socket and creates the simulated members.
   *
   * @param count the number of simulated members
   * @param changesPerSecond the rate of member changes in the whole cluster
   */
  public StandInMembers(int count, double changesPerSecond, SharedSecret secret)
      throws IOException {
    this.changesPerSecond = changesPerSecond;
    sendSeal = new DatagramSeal(secret);
    receiveSeal = new DatagramSeal(secret);
    socket = new DatagramSocket();
    for (int i = 0; i < count; i++) {
      byte[] ip = ByteBuffer.allocate(Integer.BYTES).putInt(0x7f010001 + i).array();
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getByAddress(ip), socket.getLocalPort());
      members.add(
          new Member(
              "layout-host-%04d-5f2a91c0".formatted(i),
              1,
              "service-" + i % SERVICES,
              "region-" + i % REGIONS,
              "domain-" + i % DOMAINS,
              address,
              address,
              MemberState.UP,
              0));
    }
  }

  /** Starts gossip with the measured member at the given peer address. */
  public void start(InetSocketAddress peerAddress) {
    measuredAddress = peerAddress;
    sender.setDaemon(true);
    receiver.setDaemon(true);
    receiver.start();
    sender.start();
  }

  Set<Long> threadIds() {
    return Set.of(sender.getId(), receiver.getId());
  }

  private void send() {
    try {
      for (int i = 0; i < members.size(); i += RECORDS_PER_DATAGRAM) {
        int end = Math.min(members.size(), i + RECORDS_PER_DATAGRAM);
        sendUpdate(members.subList(i, end));
        TimeUnit.MILLISECONDS.sleep(1);
      }
      long startNanos = System.nanoTime();
      for (long round = 1; !stopping; round++) {
        gossip(round);
        long dueNanos = startNanos + round * TimeUnit.MILLISECONDS.toNanos(GOSSIP_INTERVAL_MILLIS);
        TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
      }
    } catch (IOException | InterruptedException e) {
      if (!stopping) {
        throw new IllegalStateException("failed to send gossip to the measured member", e);
      }
    }
  }

  /**
   * Sends due changes: members send a change 3 ln(n) times on average, so each receives it as
   * often.
   */
  private void gossip(long round) throws IOException {
    long roundsPerSecond = TimeUnit.SECONDS.toMillis(1) / GOSSIP_INTERVAL_MILLIS;
    if (round % roundsPerSecond == 0) {
      send(GossipKind.PROBE, randomMemberId(), round, "measured", List.of());
    }
    double transmissions = 3 * Math.log(members.size() + 1.0);
    long transmissionRounds = Math.max(1, Math.round(transmissions / FANOUT));
    long newChanges = changesUntil(round) - changesUntil(round - transmissionRounds);
    if (newChanges > 0) {
      List<Member> changed = new ArrayList<>();
      for (long change = changesUntil(round) - newChanges; change < changesUntil(round); change++) {
        int index = (int) (change % members.size());
        changed.add(members.get(index).withIncarnation(change / members.size() + 2));
      }
      List<Member> fitting = changed.subList(0, Math.min(RECORDS_PER_DATAGRAM, changed.size()));
      for (int copy = 0; copy < FANOUT; copy++) {
        sendUpdate(fitting);
      }
    }
  }

  private long changesUntil(long round) {
    return (long) (Math.max(0, round) * changesPerSecond * GOSSIP_INTERVAL_MILLIS / 1_000);
  }

  private void receive() {
    byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
    while (!stopping) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        socket.receive(packet);
        Optional<ByteBuffer> message =
            receiveSeal.open(ByteBuffer.wrap(buffer, 0, packet.getLength()));
        Gossip gossip = GossipCodec.decode(message.orElseThrow());
        if (gossip.kind() == GossipKind.PROBE) {
          send(GossipKind.ACK, gossip.target(), gossip.sequence(), gossip.target(), List.of());
        }
      } catch (IOException | MalformedMessageException e) {
        if (!stopping) {
          throw new IllegalStateException(
              "failed to receive or answer gossip of the measured member", e);
        }
      }
    }
  }

  private String randomMemberId() {
    return members.get(random.nextInt(members.size())).id();
  }

  private void sendUpdate(List<Member> changed) throws IOException {
    send(GossipKind.UPDATE, randomMemberId(), 0, "", changed);
  }

  private synchronized void send(
      GossipKind kind, String from, long sequence, String target, List<Member> changed)
      throws IOException {
    Gossip gossip =
        new Gossip(
            kind,
            from,
            counter.incrementAndGet(),
            sequence,
            target,
            Optional.empty(),
            new AdvertisedConfiguration(1, 100),
            changed,
            List.of());
    byte[] datagram = sendSeal.seal(GossipCodec.encode(gossip));
    socket.send(new DatagramPacket(datagram, datagram.length, measuredAddress));
  }

  @Override
  public void close() {
    stopping = true;
    socket.close();
  }
}
