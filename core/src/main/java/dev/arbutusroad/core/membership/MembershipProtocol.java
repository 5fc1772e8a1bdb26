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
 * The membership of one node: SWIM-style gossip without I/O and threads.
 *
 * <p>The owner calls {@link #step()} at least every 100 ms and after each batch of messages.
 */
public final class MembershipProtocol {
  private static final long FORGET_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  /**
   * What the protocol needs from outside.
   *
   * @param ticker the monotonic clock, which goes on while the process is stopped
   * @param random the source of random picks
   * @param transport sends messages
   * @param configuration the version in force at this node
   * @param memberBytes the encoded size of a member's record
   * @param listener follows changes
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

  /** What a record says, apart from the fields that do not travel with each record. */
  private record Statement(String id, long incarnation, MemberState state) {
    static Statement of(Member member) {
      return new Statement(member.id(), member.incarnation(), member.state());
    }
  }

  private final Environment environment;
  private final MemberTable table;
  private final FingerprintTable fingerprints = new FingerprintTable();
  private final Disseminator disseminator = new Disseminator();
  private final GossipSender sender;
  private final FailureDetector detector;
  private final ProbeRelays relays = new ProbeRelays();
  private final ExchangeSchedule exchanges;
  private final PauseDetector pauses;
  private final Staleness staleness = new Staleness();
  private final Map<String, ReplayWindow> replayWindows = new HashMap<>();
  private long nextGossipNanos;
  private long nextDeadProbeNanos;
  private long nextForgetNanos;
  private long spreadVersion;
  private boolean leavingForGood;

  /** A member that joins through the given addresses. */
  public MembershipProtocol(Member self, List<InetSocketAddress> seeds, Environment environment) {
    this.environment = environment;
    long nowNanos = now();
    table = new MemberTable(self, environment.random());
    sender = new GossipSender(table, fingerprints, disseminator, environment);
    detector = new FailureDetector(table, new Actions(), environment.random(), nowNanos);
    exchanges =
        new ExchangeSchedule(table, seeds, environment.random(), environment.transport(), nowNanos);
    pauses = new PauseDetector(nowNanos);
    nextGossipNanos = nowNanos;
    nextDeadProbeNanos = nowNanos + MembershipTiming.DEAD_PROBE_INTERVAL_NANOS;
    nextForgetNanos = nowNanos + FORGET_INTERVAL_NANOS;
    spread(self, false);
  }

  /** Does what is due. */
  public void step() {
    long nowNanos = checkPause();
    detector.step(nowNanos);
    probeDead(nowNanos);
    spreadNewVersion(nowNanos);
    gossip(nowNanos);
    exchanges.step(nowNanos);
    staleness.livePeers(table.livePeerCount());
    if (nowNanos - nextForgetNanos >= 0) {
      nextForgetNanos = nowNanos + FORGET_INTERVAL_NANOS;
      table.forgetDead(nowNanos);
      replayWindows.keySet().removeIf(id -> table.get(id).isEmpty());
    }
  }

  /** Takes in a datagram. */
  public void receive(Gossip gossip, InetSocketAddress from) {
    long nowNanos = checkPause();
    if (gossip.sender().equals(table.self().id()) || isRepeated(gossip)) {
      return;
    }
    gossip.members().forEach(member -> merge(member, nowNanos, true));
    gossip.fingerprints().forEach(report -> mergeFingerprint(report, nowNanos));
    notePeerVersion(gossip.sender(), from, gossip.configuration());
    switch (gossip.kind()) {
      case PROBE -> sender.acknowledge(from, gossip, nowNanos);
      case ACK -> acknowledged(gossip, nowNanos);
      case INDIRECT_PROBE -> relay(gossip, from, nowNanos);
      case UPDATE -> tellIfMistaken(gossip.sender(), nowNanos);
    }
    if (table.get(gossip.sender()).isEmpty()) {
      exchanges.unknownSender(from, nowNanos);
    }
  }

  /** The opening of a state exchange. */
  public StateRequest stateRequest() {
    return new StateRequest(table.self(), table.digest().hashes(), mark(), fingerprints.all(now()));
  }

  /** Answers the opening of a state exchange. */
  public StateReply answer(StateRequest request) {
    long nowNanos = checkPause();
    merge(request.self(), nowNanos, true);
    request.fingerprints().forEach(report -> mergeFingerprint(report, nowNanos));
    notePeerVersion(request.self().id(), request.self().peerAddress(), request.configuration());
    List<Integer> buckets = table.digest().differing(request.digests());
    return new StateReply(
        table.self(), buckets, table.inBuckets(buckets), mark(), fingerprints.all(nowNanos));
  }

  /** Takes in the answer. Returns what the other side lacks or has an older record of. */
  public List<Member> complete(StateReply reply) {
    long nowNanos = checkPause();
    boolean alone = table.livePeerCount() == 0;
    merge(reply.self(), nowNanos, true);
    Set<Statement> theirs = new HashSet<>();
    reply.members().forEach(member -> theirs.add(Statement.of(member)));
    boolean manyDiffer = takeState(reply.members(), nowNanos);
    reply.fingerprints().forEach(report -> mergeFingerprint(report, nowNanos));
    notePeerVersion(reply.self().id(), reply.self().peerAddress(), reply.configuration());
    staleness.exchanged();
    exchanges.completed(manyDiffer && !alone, nowNanos);
    return table.inBuckets(reply.buckets()).stream()
        .filter(member -> !theirs.contains(Statement.of(member)))
        .filter(member -> !member.id().equals(reply.self().id()))
        .toList();
  }

  /** Takes in what the opening side of a state exchange has. */
  public void receivePush(List<Member> members) {
    takeState(members, checkPause());
  }

  /** Puts this node's target into service, also after an earlier target has left. */
  public void announce(String service) {
    Member self = table.self();
    boolean unchanged = self.state() == MemberState.UP && self.service().equals(service);
    if (!unchanged && !leavingForGood && !service.isEmpty()) {
      changeSelf(self.withService(service).withState(MemberState.UP));
    }
  }

  /** Takes this node's target out of service at once; the node stays a member. */
  public void withdraw() {
    if (table.self().state() != MemberState.JOINING && !leavingForGood) {
      changeSelf(table.self().withService("").withState(MemberState.JOINING));
    }
  }

  /** The target takes no new calls; another one may be announced later. */
  public void markTargetLeaving() {
    if (table.self().state() != MemberState.LEAVING && !leavingForGood) {
      changeSelf(table.self().withState(MemberState.LEAVING));
    }
  }

  /** The node takes no new calls and ends afterwards. */
  public void leave() {
    markTargetLeaving();
    leavingForGood = true;
  }

  /** Tells a few members that this process ends, so that none has to find out by probes. */
  public void depart() {
    long nowNanos = now();
    leavingForGood = true;
    table.replaceSelf(table.self().withState(MemberState.DEAD));
    spread(table.self(), false);
    table
        .randomLivePeers(MembershipTiming.GOSSIP_FANOUT, member -> true)
        .forEach(member -> sender.update(member, nowNanos));
  }

  /** Probes a member at once, after the data path lost its connections to it. */
  public void probeSoon(String id) {
    detector.probeSoon(id);
  }

  /** Spreads a statement about a request fingerprint that was made here. */
  public void reportFingerprint(FingerprintReport report) {
    mergeFingerprint(report, now());
  }

  /** Replaces the seeds that were read from the table service. */
  public void setTableSeeds(List<InetSocketAddress> seeds) {
    exchanges.setTableSeeds(seeds);
  }

  /** The present view. */
  public MemberView view() {
    return table.view();
  }

  /** This node's own record. */
  public Member self() {
    return table.self();
  }

  /** Whether this node was paused and has not caught up yet. */
  public boolean isStale() {
    return staleness.isStale();
  }

  /** Whether a state exchange with another member has succeeded since the start. */
  public boolean hasJoined() {
    return exchanges.hasCompleted();
  }

  /** Whether a pause has happened since the last step that no step has seen yet. */
  public static boolean pausedSince(long lastStepNanos, long nowNanos) {
    return PauseDetector.unnoticedPause(lastStepNanos, nowNanos);
  }

  /** Sizes of the protocol's collections, for operators. */
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

  private AdvertisedConfiguration mark() {
    return environment.configuration().get();
  }

  private long checkPause() {
    long nowNanos = now();
    switch (pauses.step(nowNanos)) {
      case NONE -> {
        // Nothing to make up for.
      }
      case LATE -> detector.shift(pauses.gapNanos());
      case PAUSE -> rejoin(nowNanos);
    }
    return nowNanos;
  }

  private void rejoin(long nowNanos) {
    environment.listener().onPause(pauses.gapNanos());
    staleness.paused();
    detector.restart(nowNanos);
    exchanges.soon(nowNanos);
    changeSelf(table.self());
  }

  private void changeSelf(Member changed) {
    Member self = changed.withIncarnation(table.self().incarnation() + 1);
    table.replaceSelf(self);
    spread(self, false);
    environment.listener().onMember(self);
  }

  private void spread(Member member, boolean refutes) {
    boolean own = member.id().equals(table.self().id());
    RumorPriority priority =
        own || refutes ? RumorPriority.URGENT : RumorPriority.of(member.state());
    disseminator.add(new RumorKey.OfMember(member.id()), priority, now());
  }

  private boolean merge(Member update, long nowNanos, boolean spreadOn) {
    if (update.id().equals(table.self().id())) {
      refute(update);
      return false;
    }
    // A refutation races with the end of the suspicion on every member.
    boolean refutes =
        table.get(update.id()).filter(old -> old.state() == MemberState.SUSPECT).isPresent()
            && update.state() == MemberState.UP;
    return table
        .merge(update, nowNanos)
        .map(
            member -> {
              detector.changed(member, nowNanos);
              if (spreadOn) {
                spread(member, refutes);
              }
              environment.listener().onMember(member);
              return true;
            })
        .orElse(false);
  }

  private void refute(Member claim) {
    Member self = table.self();
    boolean mistaken =
        claim.incarnation() > self.incarnation()
            || (claim.incarnation() == self.incarnation()
                && claim.state().compareTo(self.state()) > 0);
    if (mistaken && self.state() != MemberState.DEAD) {
      changeSelf(self.withIncarnation(claim.incarnation()));
    }
  }

  /** Merges the records of a state exchange. Returns whether many were new. */
  private boolean takeState(List<Member> members, long nowNanos) {
    // Few changes are news to others as well; many mean a join or a healed cut, which further
    // exchanges reconcile with far fewer bytes than gossip.
    int changed = 0;
    for (Member member : members) {
      if (merge(member, nowNanos, changed < ExchangeSchedule.FEW_CHANGES)) {
        changed++;
      }
    }
    return changed >= ExchangeSchedule.FEW_CHANGES;
  }

  private void mergeFingerprint(FingerprintReport report, long nowNanos) {
    if (fingerprints.merge(report, nowNanos)) {
      disseminator.add(new RumorKey.OfFingerprint(report.value()), RumorPriority.URGENT, nowNanos);
      environment.listener().onFingerprint(report);
    }
  }

  private boolean isRepeated(Gossip gossip) {
    return table.get(gossip.sender()).isPresent()
        && !replayWindows
            .computeIfAbsent(gossip.sender(), id -> new ReplayWindow())
            .accept(gossip.counter());
  }

  private void notePeerVersion(String id, InetSocketAddress peer, AdvertisedConfiguration mark) {
    table.noteConfigurationVersion(id, mark.version());
    // Messages that waited while this node was paused carry ages from before the pause.
    AdvertisedConfiguration usable =
        staleness.isStale() ? new AdvertisedConfiguration(mark.version(), Long.MAX_VALUE) : mark;
    environment.listener().onPeerVersion(id, peer, usable);
  }

  private void acknowledged(Gossip ack, long nowNanos) {
    relays
        .take(ack.sequence())
        .ifPresent(
            request ->
                sender.relayAck(request.requester(), request.sequence(), ack.target(), nowNanos));
    if (detector.acknowledged(ack.sequence(), ack.target())) {
      staleness.acknowledged();
    }
    tellIfMistaken(ack.sender(), nowNanos);
  }

  private void relay(Gossip request, InetSocketAddress from, long nowNanos) {
    table
        .get(request.target())
        .ifPresent(
            target -> {
              long sequence = detector.newSequence();
              relays.add(sequence, from, request.sequence());
              sender.probe(target, sequence, nowNanos);
            });
  }

  /** Answers a sender that this node holds for dead: it refutes, and a cut begins to heal. */
  private void tellIfMistaken(String senderId, long nowNanos) {
    table
        .get(senderId)
        .filter(member -> member.state() == MemberState.DEAD)
        .filter(member -> sender.allowsMore(nowNanos))
        .ifPresent(member -> sender.update(member, nowNanos));
  }

  private void probeDead(long nowNanos) {
    if (nowNanos - nextDeadProbeNanos < 0) {
      return;
    }
    nextDeadProbeNanos = nowNanos + MembershipTiming.DEAD_PROBE_INTERVAL_NANOS;
    table
        .randomDeadPeer()
        .ifPresent(member -> sender.probe(member, detector.newSequence(), nowNanos));
  }

  private void spreadNewVersion(long nowNanos) {
    long version = mark().version();
    if (version > spreadVersion) {
      spreadVersion = version;
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
      if (!disseminator.isEmpty() && sender.allowsMore(nowNanos)) {
        sender.update(peer, nowNanos);
      }
    }
  }

  /** Carries out what the failure detector decides. */
  private final class Actions implements DetectorActions {
    @Override
    public void probe(Member target, long sequence) {
      sender.probe(target, sequence, now());
    }

    @Override
    public void probeThroughOthers(Member target, long sequence) {
      table
          .randomLivePeers(
              MembershipTiming.INDIRECT_PROBES, member -> !member.id().equals(target.id()))
          .forEach(through -> sender.indirectProbe(through, target, sequence, now()));
    }

    @Override
    public void suspect(Member member) {
      merge(member.withState(MemberState.SUSPECT), now(), true);
      // The suspected member hears of it directly, so that it can refute in time.
      table.get(member.id()).ifPresent(suspected -> sender.update(suspected, now()));
    }

    @Override
    public void dead(Member member) {
      merge(member.withState(MemberState.DEAD), now(), true);
    }
  }
}
