package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/** Builds datagrams with piggybacked changes within the datagram size and the byte budget. */
final class GossipSender {
  /** The size of the MAC and of all fields other than the changes, with the longest ids. */
  static final int HEADER_BYTES = 300;

  /** The maximum size of an encoded fingerprint report. */
  static final int FINGERPRINT_BYTES = 32;

  /** Allows a burst of a few full datagrams. */
  private static final int BURST_BYTES = 2 * MembershipTiming.SEND_BYTES_PER_SECOND;

  /** Reserved for urgent changes, so that many others cannot delay a leaving notice. */
  private static final int URGENT_RESERVE_BYTES = MembershipTiming.SEND_BYTES_PER_SECOND;

  private final MemberTable table;
  private final FingerprintTable fingerprints;
  private final Disseminator disseminator;
  private final Supplier<AdvertisedConfiguration> configuration;
  private final ToIntFunction<Member> memberBytes;
  private final GossipTransport transport;
  private final SendBudget sendBudget;
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
    sendBudget =
        new SendBudget(
            MembershipTiming.SEND_BYTES_PER_SECOND, BURST_BYTES, environment.ticker().nanos());
  }

  /** Returns whether the byte budget allows a datagram other than a probe or an acknowledgement. */
  boolean allowsUpdate(long nowNanos) {
    return disseminator.hasUrgent()
        ? sendBudget.allows(MembershipTiming.DATAGRAM_BYTES, nowNanos)
        : sendBudget.allows(URGENT_RESERVE_BYTES, nowNanos);
  }

  void probe(Member target, long sequence, long nowNanos) {
    sendProbe(target.peerAddress(), GossipKind.PROBE, sequence, target, Optional.empty(), nowNanos);
  }

  void indirectProbe(Member relay, Member target, long sequence, long nowNanos) {
    InetSocketAddress to = relay.peerAddress();
    Optional<InetSocketAddress> address = Optional.of(target.peerAddress());
    sendProbe(to, GossipKind.INDIRECT_PROBE, sequence, target, address, nowNanos);
  }

  /** Acknowledges a probe of this member. */
  void acknowledge(InetSocketAddress to, Gossip probe, long nowNanos) {
    // If the probe carried a wrong record of this member, the member has refuted it by now, and the
    // sender of the probe needs the refutation first.
    boolean mentionsSelf =
        probe.members().stream().anyMatch(member -> member.id().equals(table.self().id()));
    List<Member> leadingRecords =
        mentionsSelf ? List.of(table.self()) : recordsForDoubtedReceiver(probe.sender());
    buildAndSend(
        to,
        GossipKind.ACK,
        probe.sequence(),
        table.self().id(),
        Optional.empty(),
        leadingRecords,
        nowNanos);
  }

  /** Relays the acknowledgement of an indirect probe to the member that requested the probe. */
  void relayAck(InetSocketAddress to, long sequence, String ackedBy, long nowNanos) {
    buildAndSend(to, GossipKind.ACK, sequence, ackedBy, Optional.empty(), List.of(), nowNanos);
  }

  /** Sends a datagram that carries changes only. */
  void update(Member to, long nowNanos) {
    List<Member> leadingRecords = recordsForDoubtedReceiver(to.id());
    buildAndSend(
        to.peerAddress(), GossipKind.UPDATE, 0, "", Optional.empty(), leadingRecords, nowNanos);
  }

  private void sendProbe(
      InetSocketAddress to,
      GossipKind kind,
      long sequence,
      Member target,
      Optional<InetSocketAddress> targetAddress,
      long nowNanos) {
    List<Member> leadingRecords =
        kind == GossipKind.PROBE ? recordsForDoubtedReceiver(target.id()) : List.of();
    buildAndSend(to, kind, sequence, target.id(), targetAddress, leadingRecords, nowNanos);
  }

  /** Returns the records that let a suspected or dead receiver refute its state. */
  private List<Member> recordsForDoubtedReceiver(String id) {
    return table
        .get(id)
        .filter(
            member -> member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD)
        .map(member -> List.of(member, table.self()))
        .orElse(List.of());
  }

  private void buildAndSend(
      InetSocketAddress to,
      GossipKind kind,
      long sequence,
      String target,
      Optional<InetSocketAddress> targetAddress,
      List<Member> leadingRecords,
      long nowNanos) {
    List<Member> members = new ArrayList<>(leadingRecords);
    List<FingerprintReport> reports = new ArrayList<>();
    int remainingBytes = MembershipTiming.DATAGRAM_BYTES - HEADER_BYTES;
    for (Member member : leadingRecords) {
      remainingBytes -= memberBytes.applyAsInt(member);
    }
    RumorPriority lowestPriority =
        sendBudget.allows(URGENT_RESERVE_BYTES, nowNanos)
            ? RumorPriority.NORMAL
            : RumorPriority.URGENT;
    for (RumorKey key :
        disseminator.select(remainingBytes, memberCount(), lowestPriority, this::sizeBytes)) {
      if (key instanceof RumorKey.OfMember ofMember) {
        table
            .get(ofMember.id())
            .filter(member -> !leadingRecords.contains(member))
            .ifPresent(members::add);
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
    sendBudget.charge(transport.send(to, gossip));
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
