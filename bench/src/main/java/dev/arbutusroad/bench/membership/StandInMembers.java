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
 * Stands in for the other members of a cluster: one loopback socket, an id and an address of
 * 127.0.0.0/8 for each.
 *
 * <p>The measured member gets what it would get in a cluster of that size: one probe a second, an
 * acknowledgement of each of its probes, and each change as often as members retransmit it.
 */
public final class StandInMembers implements AutoCloseable {
  private static final int RECORDS_IN_DATAGRAM = 6;
  private static final int SERVICES = 110;
  private static final int DOMAINS = 11;
  private static final int REGIONS = 5;
  private static final int BUFFER_BYTES = 2_048;
  private static final long GOSSIP_MILLIS = 200;
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
  private volatile InetSocketAddress measured;
  private volatile boolean stopping;

  /**
   * Creates the stand-ins.
   *
   * @param count the number of members that they stand in for
   * @param changesPerSecond changes of members in the whole cluster
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

  /** Joins the measured member. */
  public void start(InetSocketAddress member) {
    measured = member;
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
      for (int i = 0; i < members.size(); i += RECORDS_IN_DATAGRAM) {
        int end = Math.min(members.size(), i + RECORDS_IN_DATAGRAM);
        sendUpdate(members.subList(i, end));
        TimeUnit.MILLISECONDS.sleep(1);
      }
      long startNanos = System.nanoTime();
      for (long round = 1; !stopping; round++) {
        gossip(round);
        long dueNanos = startNanos + round * TimeUnit.MILLISECONDS.toNanos(GOSSIP_MILLIS);
        TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
      }
    } catch (IOException | InterruptedException e) {
      if (!stopping) {
        throw new IllegalStateException("the stand-ins can't send", e);
      }
    }
  }

  /** A member sends a change on average 3 ln(n) times, so it also receives it that often. */
  private void gossip(long round) throws IOException {
    long roundsPerSecond = TimeUnit.SECONDS.toMillis(1) / GOSSIP_MILLIS;
    if (round % roundsPerSecond == 0) {
      send(GossipKind.PROBE, anyMember(), round, "measured", List.of());
    }
    double copies = 3 * Math.log(members.size() + 1.0);
    long spreadRounds = Math.max(1, Math.round(copies / FANOUT));
    long newChanges = changesUntil(round) - changesUntil(round - spreadRounds);
    if (newChanges > 0) {
      List<Member> changed = new ArrayList<>();
      for (long change = changesUntil(round) - newChanges; change < changesUntil(round); change++) {
        int index = (int) (change % members.size());
        changed.add(members.get(index).withIncarnation(change / members.size() + 2));
      }
      List<Member> fitting = changed.subList(0, Math.min(RECORDS_IN_DATAGRAM, changed.size()));
      for (int copy = 0; copy < FANOUT; copy++) {
        sendUpdate(fitting);
      }
    }
  }

  private long changesUntil(long round) {
    return (long) (Math.max(0, round) * changesPerSecond * GOSSIP_MILLIS / 1_000);
  }

  private void receive() {
    byte[] buffer = new byte[BUFFER_BYTES];
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
          throw new IllegalStateException("the stand-ins can't receive", e);
        }
      }
    }
  }

  private String anyMember() {
    return members.get(random.nextInt(members.size())).id();
  }

  private void sendUpdate(List<Member> changed) throws IOException {
    send(GossipKind.UPDATE, anyMember(), 0, "", changed);
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
    socket.send(new DatagramPacket(datagram, datagram.length, measured));
  }

  @Override
  public void close() {
    stopping = true;
    socket.close();
  }
}
