package dev.arbutusroad.core.membership;

import dev.arbutusroad.core.time.Ticker;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

/**
 * Maintains one node's view of the membership with a SWIM-style gossip protocol.
 *
 * <p>The class does no I/O, starts no threads and is not thread-safe. The owner calls {@link
 * #step()} at least every 100 ms and after each batch of messages.
 */
public final class MembershipProtocol {
  private static final long PURGE_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  /**
   * The dependencies of the protocol.
   *
   * @param ticker the monotonic clock, which also advances while the process is suspended
   * @param random the source of randomness for the choice of peers and for jitter
   * @param transport sends datagrams and starts state exchanges
   * @param configuration supplies the configuration version in force at this node
   * @param memberBytes returns the encoded size of a member's record in bytes
   * @param listener is notified of changes
   */
  public record Environment(
      Ticker ticker,
      RandomGenerator random,
      GossipTransport transport,
      Supplier<AdvertisedConfiguration> configuration,
      ToIntFunction<Member> memberBytes,
      MembershipListener listener) {
    public Environment {
      Objects.requireNonNull(ticker, "ticker");
      Objects.requireNonNull(random, "random");
      Objects.requireNonNull(transport, "transport");
      Objects.requireNonNull(configuration, "configuration");
      Objects.requireNonNull(memberBytes, "memberBytes");
      Objects.requireNonNull(listener, "listener");
    }
  }

  /** The fields that every encoded member record carries; they identify a version of the record. */
  private record RecordVersion(String id, long incarnation, MemberState state) {
    static RecordVersion of(Member member) {
      return new RecordVersion(member.id(), member.incarnation(), member.state());
    }
  }

  private final Environment environment;
  private final MemberTable table;
  private final FingerprintTable fingerprints = new FingerprintTable();
  private final Disseminator disseminator = new Disseminator();
  private final GossipSender sender;
  private final FailureDetector detector;
  private final ProbeRelays probeRelays = new ProbeRelays();
  private final ExchangeSchedule exchanges;
  private final PauseDetector pauseDetector;
  private final Staleness staleness = new Staleness();
  private final Map<String, ReplayWindow> replayWindows = new HashMap<>();
  private long nextGossipNanos;
  private long nextDeadProbeNanos;
  private long nextPurgeNanos;
  private long disseminatedVersion;
  private boolean leavingPermanently;

  /** Creates the protocol of a member that joins through the given seed addresses. */
  public MembershipProtocol(Member self, List<InetSocketAddress> seeds, Environment environment) {
    this.environment = environment;
    long nowNanos = now();
    table = new MemberTable(self, environment.random());
    sender = new GossipSender(table, fingerprints, disseminator, environment);
    detector = new FailureDetector(table, new ProtocolActions(), environment.random(), nowNanos);
    exchanges =
        new ExchangeSchedule(table, seeds, environment.random(), environment.transport(), nowNanos);
    pauseDetector = new PauseDetector(nowNanos);
    nextGossipNanos = nowNanos;
    nextDeadProbeNanos = nowNanos + MembershipTiming.DEAD_PROBE_INTERVAL_NANOS;
    nextPurgeNanos = nowNanos + PURGE_INTERVAL_NANOS;
    enqueueMemberRumor(self, false);
  }

  /** Runs the probes, gossip rounds, state exchanges and expirations that are due. */
  public void step() {
    long nowNanos = checkPause();
    detector.step(nowNanos);
    probeRandomDeadPeer(nowNanos);
    disseminateNewVersion(nowNanos);
    gossip(nowNanos);
    exchanges.step(nowNanos);
    staleness.onLivePeerCount(table.livePeerCount());
    if (nowNanos - nextPurgeNanos >= 0) {
      nextPurgeNanos = nowNanos + PURGE_INTERVAL_NANOS;
      table.purgeDead(nowNanos);
      replayWindows.keySet().removeIf(id -> table.get(id).isEmpty());
    }
  }

  /** Handles a received datagram. */
  public void receive(Gossip gossip, InetSocketAddress from) {
    long nowNanos = checkPause();
    if (gossip.sender().equals(table.self().id()) || isReplay(gossip)) {
      return;
    }
    gossip.members().forEach(member -> merge(member, nowNanos, true));
    gossip.fingerprints().forEach(report -> mergeFingerprint(report, nowNanos));
    recordPeerVersion(gossip.sender(), from, gossip.configuration());
    switch (gossip.kind()) {
      case PROBE -> sender.acknowledge(from, gossip, nowNanos);
      case ACK -> handleAck(gossip, nowNanos);
      case INDIRECT_PROBE -> relay(gossip, from, nowNanos);
      case UPDATE -> notifyIfConsideredDead(gossip.sender(), nowNanos);
    }
    if (table.get(gossip.sender()).isEmpty()) {
      exchanges.onUnknownSender(from, nowNanos);
    }
  }

  /** Returns the request that opens a state exchange. */
  public StateRequest stateRequest() {
    return new StateRequest(
        table.self(), table.digest().hashes(), advertisedConfiguration(), fingerprints.all(now()));
  }

  /** Merges a state exchange request and returns the reply to it. */
  public StateReply answer(StateRequest request) {
    long nowNanos = checkPause();
    merge(request.self(), nowNanos, true);
    request.fingerprints().forEach(report -> mergeFingerprint(report, nowNanos));
    recordPeerVersion(request.self().id(), request.self().peerAddress(), request.configuration());
    List<Integer> buckets = table.digest().differing(request.digests());
    return new StateReply(
        table.self(),
        buckets,
        table.inBuckets(buckets),
        advertisedConfiguration(),
        fingerprints.all(nowNanos));
  }

  /**
   * Merges the reply of a state exchange.
   *
   * @return the records that the other side lacks or holds in a different version
   */
  public List<Member> complete(StateReply reply) {
    long nowNanos = checkPause();
    boolean alone = table.livePeerCount() == 0;
    merge(reply.self(), nowNanos, true);
    Set<RecordVersion> receivedVersions = new HashSet<>();
    reply.members().forEach(member -> receivedVersions.add(RecordVersion.of(member)));
    boolean manyChanged = mergeAll(reply.members(), nowNanos);
    reply.fingerprints().forEach(report -> mergeFingerprint(report, nowNanos));
    recordPeerVersion(reply.self().id(), reply.self().peerAddress(), reply.configuration());
    staleness.onExchange();
    exchanges.onCompleted(manyChanged && !alone, nowNanos);
    return table.inBuckets(reply.buckets()).stream()
        .filter(member -> !receivedVersions.contains(RecordVersion.of(member)))
        .filter(member -> !member.id().equals(reply.self().id()))
        .toList();
  }

  /** Merges the records that the opening side of a state exchange sends in its last message. */
  public void receivePush(List<Member> members) {
    mergeAll(members, checkPause());
  }

  /** Puts this node's target into service, also after an earlier target has left. Idempotent. */
  public void announce(String service) {
    Member self = table.self();
    boolean unchanged = self.state() == MemberState.UP && self.service().equals(service);
    if (!unchanged && !leavingPermanently && !service.isEmpty()) {
      changeSelf(self.withService(service).withState(MemberState.UP));
    }
  }

  /** Takes this node's target out of service immediately; the node stays a member. */
  public void withdraw() {
    if (table.self().state() != MemberState.JOINING && !leavingPermanently) {
      changeSelf(table.self().withService("").withState(MemberState.JOINING));
    }
  }

  /** Marks the target as leaving: it gets no new calls. Another target may be announced later. */
  public void markTargetLeaving() {
    if (table.self().state() != MemberState.LEAVING && !leavingPermanently) {
      changeSelf(table.self().withState(MemberState.LEAVING));
    }
  }

  /** Marks the target as leaving for the rest of the process; no other target can be announced. */
  public void leave() {
    markTargetLeaving();
    leavingPermanently = true;
  }

  /** Announces the end of this process to a few members, so that no probe has to detect it. */
  public void depart() {
    long nowNanos = now();
    leavingPermanently = true;
    table.replaceSelf(table.self().withState(MemberState.DEAD));
    enqueueMemberRumor(table.self(), false);
    table
        .randomLivePeers(MembershipTiming.GOSSIP_FANOUT, member -> true)
        .forEach(member -> sender.update(member, nowNanos));
  }

  /** Probes a member at the next step, after the data path lost its connections to it. */
  public void probeSoon(String id) {
    detector.probeSoon(id);
  }

  /** Disseminates a report about a request fingerprint that originates at this node. */
  public void reportFingerprint(FingerprintReport report) {
    mergeFingerprint(report, now());
  }

  /** Replaces the seed addresses that were read from the table service. */
  public void setTableSeeds(List<InetSocketAddress> seeds) {
    exchanges.setTableSeeds(seeds);
  }

  /** Returns the current view. */
  public MemberView view() {
    return table.view();
  }

  /** Returns this node's own record. */
  public Member self() {
    return table.self();
  }

  /** Returns whether this node was paused and has not caught up yet. */
  public boolean isStale() {
    return staleness.isStale();
  }

  /** Returns whether a state exchange with another member has succeeded since the start. */
  public boolean hasJoined() {
    return exchanges.hasCompleted();
  }

  /** Returns whether a pause has occurred since the last step, before the next step detects it. */
  public static boolean pausedSince(long lastStepNanos, long nowNanos) {
    return PauseDetector.isUndetectedPause(lastStepNanos, nowNanos);
  }

  /** Returns the sizes of the protocol's collections, for operators. */
  public Map<String, Integer> sizes() {
    return Map.of(
        "live", table.livePeerCount() + 1,
        "dead", table.deadPeerCount(),
        "suspicions", detector.suspicionCount(),
        "changesQueued", disseminator.size(),
        "fingerprints", fingerprints.all(now()).size());
  }

  private long now() {
    return environment.ticker().nanos();
  }

  private AdvertisedConfiguration advertisedConfiguration() {
    return environment.configuration().get();
  }

  private long checkPause() {
    long nowNanos = now();
    switch (pauseDetector.step(nowNanos)) {
      case NONE -> {
        // No timeout has to be adjusted.
      }
      case LATE -> detector.extendDeadlines(pauseDetector.gapNanos());
      case PAUSE -> rejoin(nowNanos);
    }
    return nowNanos;
  }

  private void rejoin(long nowNanos) {
    environment.listener().onPause(pauseDetector.gapNanos());
    staleness.onPause();
    detector.resetAfterPause(nowNanos);
    exchanges.scheduleNow(nowNanos);
    changeSelf(table.self());
  }

  private void changeSelf(Member changed) {
    Member self = changed.withIncarnation(table.self().incarnation() + 1);
    table.replaceSelf(self);
    enqueueMemberRumor(self, false);
    environment.listener().onMember(self);
  }

  private void enqueueMemberRumor(Member member, boolean isRefutation) {
    boolean isSelf = member.id().equals(table.self().id());
    RumorPriority priority =
        isSelf || isRefutation ? RumorPriority.URGENT : RumorPriority.of(member.state());
    disseminator.add(new RumorKey.OfMember(member.id()), priority, now());
  }

  private boolean merge(Member update, long nowNanos, boolean disseminate) {
    if (update.id().equals(table.self().id())) {
      refute(update);
      return false;
    }
    // A refutation is urgent: it has to reach every member before the suspicion expires there.
    boolean isRefutation =
        table.get(update.id()).filter(old -> old.state() == MemberState.SUSPECT).isPresent()
            && update.state() == MemberState.UP;
    return table
        .merge(update, nowNanos)
        .map(
            member -> {
              detector.onMemberChanged(member, nowNanos);
              if (disseminate) {
                enqueueMemberRumor(member, isRefutation);
              }
              environment.listener().onMember(member);
              return true;
            })
        .orElse(false);
  }

  private void refute(Member claim) {
    Member self = table.self();
    boolean contradictsSelf =
        claim.incarnation() > self.incarnation()
            || (claim.incarnation() == self.incarnation()
                && claim.state().compareTo(self.state()) > 0);
    if (contradictsSelf && self.state() != MemberState.DEAD) {
      changeSelf(self.withIncarnation(claim.incarnation()));
    }
  }

  /** Merges the records of a state exchange and returns whether many of them changed the table. */
  private boolean mergeAll(List<Member> members, long nowNanos) {
    // A few changes are probably new to other members too, so gossip disseminates them. Many
    // changes indicate a join or a healed partition, which further state exchanges reconcile with
    // far fewer bytes than gossip.
    int changed = 0;
    for (Member member : members) {
      if (merge(member, nowNanos, changed < ExchangeSchedule.ORDINARY_CHANGE_LIMIT)) {
        changed++;
      }
    }
    return changed >= ExchangeSchedule.ORDINARY_CHANGE_LIMIT;
  }

  private void mergeFingerprint(FingerprintReport report, long nowNanos) {
    if (fingerprints.merge(report, nowNanos)) {
      disseminator.add(new RumorKey.OfFingerprint(report.value()), RumorPriority.URGENT, nowNanos);
      environment.listener().onFingerprint(report);
    }
  }

  private boolean isReplay(Gossip gossip) {
    return table.get(gossip.sender()).isPresent()
        && !replayWindows
            .computeIfAbsent(gossip.sender(), id -> new ReplayWindow())
            .accept(gossip.counter());
  }

  private void recordPeerVersion(
      String id, InetSocketAddress peer, AdvertisedConfiguration advertised) {
    table.recordConfigurationVersion(id, advertised.version());
    // Messages that were queued while this node was paused state ages from before the pause.
    AdvertisedConfiguration usable =
        staleness.isStale()
            ? new AdvertisedConfiguration(advertised.version(), Long.MAX_VALUE)
            : advertised;
    environment.listener().onPeerVersion(id, peer, usable);
  }

  private void handleAck(Gossip ack, long nowNanos) {
    probeRelays
        .take(ack.sequence())
        .ifPresent(
            request ->
                sender.relayAck(request.requester(), request.sequence(), ack.target(), nowNanos));
    if (detector.onAck(ack.sequence(), ack.target())) {
      staleness.onAck();
    }
    notifyIfConsideredDead(ack.sender(), nowNanos);
  }

  private void relay(Gossip request, InetSocketAddress from, long nowNanos) {
    table
        .get(request.target())
        .ifPresent(
            target -> {
              long sequence = detector.newSequence();
              probeRelays.add(sequence, from, request.sequence());
              sender.probe(target, sequence, nowNanos);
            });
  }

  /**
   * Sends an update to a sender that this node considers dead, so that the sender refutes its
   * death. This is how the two sides of a healed network partition merge again.
   */
  private void notifyIfConsideredDead(String senderId, long nowNanos) {
    table
        .get(senderId)
        .filter(member -> member.state() == MemberState.DEAD)
        .filter(member -> sender.allowsUpdate(nowNanos))
        .ifPresent(member -> sender.update(member, nowNanos));
  }

  private void probeRandomDeadPeer(long nowNanos) {
    if (nowNanos - nextDeadProbeNanos < 0) {
      return;
    }
    nextDeadProbeNanos = nowNanos + MembershipTiming.DEAD_PROBE_INTERVAL_NANOS;
    table
        .randomDeadPeer()
        .ifPresent(member -> sender.probe(member, detector.newSequence(), nowNanos));
  }

  private void disseminateNewVersion(long nowNanos) {
    long version = advertisedConfiguration().version();
    if (version > disseminatedVersion) {
      disseminatedVersion = version;
      disseminator.add(new RumorKey.OfConfiguration(), RumorPriority.URGENT, nowNanos);
    }
  }

  private void gossip(long nowNanos) {
    if (disseminator.isEmpty() || nowNanos - nextGossipNanos < 0) {
      return;
    }
    nextGossipNanos = nowNanos + MembershipTiming.GOSSIP_INTERVAL_NANOS;
    disseminator.expire(nowNanos);
    for (Member peer : table.randomLivePeers(MembershipTiming.GOSSIP_FANOUT, member -> true)) {
      if (!disseminator.isEmpty() && sender.allowsUpdate(nowNanos)) {
        sender.update(peer, nowNanos);
      }
    }
  }

  /** Carries out the actions of the failure detector. */
  private final class ProtocolActions implements DetectorActions {
    @Override
    public void probe(Member target, long sequence) {
      sender.probe(target, sequence, now());
    }

    @Override
    public void probeIndirectly(Member target, long sequence) {
      table
          .randomLivePeers(
              MembershipTiming.INDIRECT_PROBES, member -> !member.id().equals(target.id()))
          .forEach(relay -> sender.indirectProbe(relay, target, sequence, now()));
    }

    @Override
    public void suspect(Member member) {
      merge(member.withState(MemberState.SUSPECT), now(), true);
      // The suspected member is informed directly, so that it can refute before the deadline.
      table.get(member.id()).ifPresent(suspected -> sender.update(suspected, now()));
    }

    @Override
    public void declareDead(Member member) {
      merge(member.withState(MemberState.DEAD), now(), true);
    }
  }
}
