package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/** Builds datagrams with piggybacked changes and keeps them within size and byte budget. */
final class GossipSender {
  /** The MAC and the fields of a datagram other than its changes, with the longest ids. */
  static final int HEADER_BYTES = 300;

  /** The largest encoded fingerprint. */
  static final int FINGERPRINT_BYTES = 32;

  /** A datagram may be followed by a burst of a few full ones. */
  private static final int BURST_BYTES = 2 * MembershipTiming.SEND_BYTES_PER_SECOND;

  /** Kept for urgent changes: a storm of others must not delay a member that leaves. */
  private static final int URGENT_RESERVE_BYTES = MembershipTiming.SEND_BYTES_PER_SECOND;

  private final MemberTable table;
  private final FingerprintTable fingerprints;
  private final Disseminator disseminator;
  private final Supplier<AdvertisedConfiguration> configuration;
  private final ToIntFunction<Member> memberBytes;
  private final GossipTransport transport;
  private final SendBudget budget;
  private long counter;

  GossipSender(
      MemberTable table,
      FingerprintTable fingerprints,
      Disseminator disseminator,
      MembershipProtocol.Environment environment) {
    this.table = table;
    this.fingerprints = fingerprints;
    this.disseminator = disseminator;
    configuration = environment.configuration();
    memberBytes = environment.memberBytes();
    transport = environment.transport();
    budget =
        new SendBudget(
            MembershipTiming.SEND_BYTES_PER_SECOND, BURST_BYTES, environment.ticker().nanos());
  }

  /** Whether the byte budget allows a datagram beyond probes and acknowledgements. */
  boolean allowsMore(long nowNanos) {
    return disseminator.hasUrgent()
        ? budget.allows(MembershipTiming.DATAGRAM_BYTES, nowNanos)
        : budget.allows(URGENT_RESERVE_BYTES, nowNanos);
  }

  void probe(Member target, long sequence, long nowNanos) {
    send(target.peerAddress(), GossipKind.PROBE, sequence, target, Optional.empty(), nowNanos);
  }

  void indirectProbe(Member through, Member target, long sequence, long nowNanos) {
    InetSocketAddress to = through.peerAddress();
    Optional<InetSocketAddress> address = Optional.of(target.peerAddress());
    send(to, GossipKind.INDIRECT_PROBE, sequence, target, address, nowNanos);
  }

  /** Acknowledges a probe of this member. */
  void acknowledge(InetSocketAddress to, Gossip probe, long nowNanos) {
    // A claim about this member has been refuted by now; the prober needs that most.
    boolean claimed =
        probe.members().stream().anyMatch(member -> member.id().equals(table.self().id()));
    List<Member> first = claimed ? List.of(table.self()) : aboutReceiver(probe.sender());
    deliver(
        to, GossipKind.ACK, probe.sequence(), table.self().id(), Optional.empty(), first, nowNanos);
  }

  /** Passes on that another member acknowledged an indirect probe. */
  void relayAck(InetSocketAddress to, long sequence, String ackedBy, long nowNanos) {
    deliver(to, GossipKind.ACK, sequence, ackedBy, Optional.empty(), List.of(), nowNanos);
  }

  /** Sends changes only. */
  void update(Member to, long nowNanos) {
    List<Member> first = aboutReceiver(to.id());
    deliver(to.peerAddress(), GossipKind.UPDATE, 0, "", Optional.empty(), first, nowNanos);
  }

  private void send(
      InetSocketAddress to,
      GossipKind kind,
      long sequence,
      Member target,
      Optional<InetSocketAddress> targetAddress,
      long nowNanos) {
    List<Member> first = kind == GossipKind.PROBE ? aboutReceiver(target.id()) : List.of();
    deliver(to, kind, sequence, target.id(), targetAddress, first, nowNanos);
  }

  /** A suspected or dead receiver has to know, so that it can refute. */
  private List<Member> aboutReceiver(String id) {
    return table
        .get(id)
        .filter(
            member -> member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD)
        .map(member -> List.of(member, table.self()))
        .orElse(List.of());
  }

  private void deliver(
      InetSocketAddress to,
      GossipKind kind,
      long sequence,
      String target,
      Optional<InetSocketAddress> targetAddress,
      List<Member> first,
      long nowNanos) {
    List<Member> members = new ArrayList<>(first);
    List<FingerprintReport> reports = new ArrayList<>();
    int room = MembershipTiming.DATAGRAM_BYTES - HEADER_BYTES;
    for (Member member : first) {
      room -= memberBytes.applyAsInt(member);
    }
    RumorPriority least =
        budget.allows(URGENT_RESERVE_BYTES, nowNanos) ? RumorPriority.NORMAL : RumorPriority.URGENT;
    for (RumorKey key : disseminator.select(room, memberCount(), least, this::sizeBytes)) {
      if (key instanceof RumorKey.OfMember ofMember) {
        table.get(ofMember.id()).filter(member -> !first.contains(member)).ifPresent(members::add);
      } else if (key instanceof RumorKey.OfFingerprint ofFingerprint) {
        fingerprints.get(ofFingerprint.value(), nowNanos).ifPresent(reports::add);
      }
    }
    Gossip gossip =
        new Gossip(
            kind,
            table.self().id(),
            ++counter,
            sequence,
            target,
            targetAddress,
            configuration.get(),
            members,
            reports);
    budget.charge(transport.send(to, gossip));
  }

  private int memberCount() {
    return table.livePeerCount() + 1;
  }

  private int sizeBytes(RumorKey key) {
    if (key instanceof RumorKey.OfMember ofMember) {
      return table.get(ofMember.id()).map(memberBytes::applyAsInt).orElse(0);
    }
    return key instanceof RumorKey.OfFingerprint ? FINGERPRINT_BYTES : 0;
  }
}
