package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.AdvertisedConfiguration;
import dev.arbutusroad.core.membership.FingerprintReport;
import dev.arbutusroad.core.membership.Gossip;
import dev.arbutusroad.core.membership.GossipTransport;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.membership.MembershipListener;
import dev.arbutusroad.core.membership.MembershipProtocol;
import dev.arbutusroad.core.membership.StateReply;
import dev.arbutusroad.core.membership.StateRequest;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.wire.Frame;
import dev.arbutusroad.wire.GossipCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Membership of this node: runs the protocol on its own thread and publishes the member view.
 *
 * <p>All methods may be called on any thread and do not block, except {@link #close()}.
 */
public final class MembershipDuty implements AutoCloseable {
  /** A few seconds of datagrams at the design size. */
  private static final int RING_CAPACITY = 1_024;

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Building the view at 1,900 members takes about a millisecond, so changes are batched. */
  private static final long PUBLISH_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final Ticker ticker = Ticker.system();
  private final DropOldestRing<Runnable> ring = new DropOldestRing<>(RING_CAPACITY);
  private final PeerTraffic traffic = new PeerTraffic();
  private final List<FingerprintListener> fingerprintListeners = new CopyOnWriteArrayList<>();
  private final DatagramSeal seal;
  private final PeerTransport transport;
  private final MembershipProtocol protocol;
  private final Optional<SeedRows> seedRows;
  private final Thread thread;
  private long lastPublishNanos;
  private volatile ConfigurationSource source = ConfigurationSource.NONE;
  private volatile ConfigurationSink sink = (id, address, version, ageMillis) -> {};
  private volatile MemberView view;
  private volatile Member self;
  private volatile boolean stale;
  private volatile boolean joined;
  private volatile long lastStepNanos;
  private volatile Map<String, Integer> sizes;
  private volatile boolean stopping;

  private MembershipDuty(MembershipOptions options) throws IOException {
    seal = new DatagramSeal(options.secret());
    transport = new PeerTransport(options.secret(), options.self().id(), new Events(), traffic);
    thread = new Thread(this::run, "membership");
    thread.setDaemon(true);
    try {
      int port = transport.bind(options.bindAddress());
      Member bound = withPort(options.self(), port);
      protocol = new MembershipProtocol(bound, options.seeds(), environment());
    } catch (IOException e) {
      transport.close();
      throw e;
    }
    seedRows =
        options
            .table()
            .map(
                table ->
                    new SeedRows(table, ticker.nanos(), protocol::setTableSeeds, this::execute));
    view = protocol.view();
    self = protocol.self();
    sizes = protocol.sizes();
    lastStepNanos = ticker.nanos();
    lastPublishNanos = lastStepNanos;
  }

  /**
   * Binds the peer address and starts to join.
   *
   * @throws IOException if the address can't be bound
   */
  public static MembershipDuty start(MembershipOptions options) throws IOException {
    MembershipDuty duty = new MembershipDuty(options);
    duty.thread.start();
    return duty;
  }

  /** The newest published view. */
  public MemberView view() {
    return view;
  }

  /** This node's own record as last published. */
  public Member self() {
    return self;
  }

  /**
   * Whether this node was stopped for a while and its view may be outdated; it must not answer
   * calls until this is false.
   */
  public boolean isStale() {
    return stale || MembershipProtocol.pausedSince(lastStepNanos, ticker.nanos());
  }

  /** Whether a state exchange with another member has succeeded since the start. */
  public boolean hasJoined() {
    return joined;
  }

  /** Puts this node's target into service. Repeated announcements change nothing. */
  public void announce(String service) {
    execute(() -> protocol.announce(service));
  }

  /** Takes this node's target out of service, after it ended or was no longer announced. */
  public void withdraw() {
    execute(protocol::withdraw);
  }

  /** Tells all members that this target takes no new calls; another may be announced later. */
  public void targetLeaves() {
    execute(protocol::markTargetLeaving);
  }

  /** Tells all members that this node takes no new calls and ends afterwards. */
  public void leave() {
    execute(protocol::leave);
  }

  /** Has a member probed at once, after connections to it broke. */
  public void reportUnreachable(String memberId) {
    execute(() -> protocol.probeSoon(memberId));
  }

  /** Spreads a statement about a request fingerprint; the listeners of this node hear it too. */
  public void reportFingerprint(FingerprintReport report) {
    execute(() -> protocol.reportFingerprint(report));
  }

  /** Adds a listener for statements about request fingerprints. */
  public void addFingerprintListener(FingerprintListener listener) {
    fingerprintListeners.add(listener);
  }

  /** Connects the configuration duty. */
  public void connectConfiguration(ConfigurationSource newSource, ConfigurationSink newSink) {
    source = newSource;
    sink = newSink;
  }

  /**
   * Fetches the configuration document from a peer.
   *
   * @param leastVersion the least version that is of use; 0 for any
   * @return the document, or empty when the peer has none of that version; fails with an
   *     IOException when the peer can't be reached
   */
  public CompletableFuture<Optional<PeerDocument>> fetchDocument(
      InetSocketAddress peer, long leastVersion) {
    return transport
        .request(peer, new Frame.AskDocument(leastVersion))
        .thenCompose(
            frame ->
                frame instanceof Frame.GiveDocument give
                    ? CompletableFuture.completedFuture(
                        give.document().map(text -> new PeerDocument(give.mark(), text)))
                    : CompletableFuture.failedFuture(
                        new PeerConnectionException("the peer did not answer with a document")));
  }

  /** A snapshot for operators, with values that can be written as JSON. */
  public Map<String, Object> dump() {
    return MembershipDump.of(this, ring.dropped());
  }

  /** Counts of control messages since the start. */
  public Map<String, Long> traffic() {
    return traffic.snapshot();
  }

  /** Sizes of the protocol's collections as last published. */
  Map<String, Integer> sizes() {
    return sizes;
  }

  /** Tells some members that this process ends, and stops. */
  @Override
  public void close() {
    execute(
        () -> {
          protocol.depart();
          transport.flush();
          stopping = true;
        });
    try {
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stopping = true;
    transport.close();
  }

  private void execute(Runnable event) {
    ring.put(event);
    LockSupport.unpark(thread);
  }

  private void run() {
    while (!stopping) {
      // Taken before the step, so that a pause during it shows in isStale().
      long startNanos = ticker.nanos();
      try {
        drain();
        protocol.step();
        seedRows.ifPresent(rows -> rows.step(ticker.nanos(), protocol.view(), protocol.self()));
        transport.flush();
        publish(startNanos);
      } catch (RuntimeException e) {
        Logger.error(e, "event=membership_step_failed");
      }
      LockSupport.parkNanos(this, STEP_NANOS);
    }
  }

  private void drain() {
    Runnable event = ring.poll();
    while (event != null) {
      event.run();
      event = ring.poll();
    }
  }

  private void publish(long nowNanos) {
    stale = protocol.isStale();
    joined = protocol.hasJoined();
    lastStepNanos = nowNanos;
    if (nowNanos - lastPublishNanos >= PUBLISH_NANOS) {
      lastPublishNanos = nowNanos;
      view = protocol.view();
      self = protocol.self();
      sizes = protocol.sizes();
    }
  }

  private MembershipProtocol.Environment environment() {
    return new MembershipProtocol.Environment(
        ticker,
        new SplittableRandom(),
        new SocketOutbox(),
        () -> {
          ConfigurationSource current = source;
          return new AdvertisedConfiguration(current.version(), current.confirmationAgeMillis());
        },
        GossipCodec::memberBytes,
        new Listener());
  }

  private static Member withPort(Member member, int port) {
    if (member.peerAddress().getPort() != 0) {
      return member;
    }
    InetSocketAddress peer = new InetSocketAddress(member.peerAddress().getAddress(), port);
    return member.withAddresses(member.callerAddress(), peer);
  }

  /** Sends on the sockets. Called on the membership thread. */
  private final class SocketOutbox implements GossipTransport {
    @Override
    public int send(InetSocketAddress to, Gossip gossip) {
      byte[] datagram = seal.seal(GossipCodec.encode(gossip));
      transport.send(to, datagram);
      return datagram.length;
    }

    @Override
    public void exchange(InetSocketAddress with) {
      var unused =
          transport
              .request(with, new Frame.OpenState(protocol.stateRequest()), this::takeAnswer)
              .whenComplete(
                  (frame, error) -> {
                    if (error != null) {
                      traffic.exchangesFailed.increment();
                      Logger.debug(
                          "event=exchange_failed peer={} reason=\"{}\"", with, error.toString());
                    }
                  });
    }

    private CompletableFuture<Frame> takeAnswer(Frame frame) {
      CompletableFuture<Frame> push = new CompletableFuture<>();
      if (frame instanceof Frame.AnswerState answer) {
        execute(() -> push.complete(new Frame.PushState(protocol.complete(answer.reply()))));
      } else {
        push.completeExceptionally(new PeerConnectionException("an unexpected answer"));
      }
      return push;
    }
  }

  /** Hands messages over to the membership thread. */
  private final class Events implements PeerEvents {
    @Override
    public void onGossip(Gossip gossip, InetSocketAddress from) {
      execute(() -> protocol.receive(gossip, from));
    }

    @Override
    public void onStateRequest(StateRequest request, Consumer<StateReply> reply) {
      execute(() -> reply.accept(protocol.answer(request)));
    }

    @Override
    public void onStatePush(List<Member> members) {
      execute(() -> protocol.receivePush(members));
    }

    @Override
    public Frame.GiveDocument document(long leastVersion) {
      ConfigurationSource current = source;
      long version = current.version();
      return new Frame.GiveDocument(
          new AdvertisedConfiguration(version, current.confirmationAgeMillis()),
          version >= leastVersion ? current.document() : Optional.empty());
    }
  }

  /** Passes on what the protocol learns. */
  private final class Listener implements MembershipListener {
    @Override
    public void onMember(Member member) {
      Logger.debug(
          "event=member_changed id={} state={} incarnation={} service={}",
          member.id(),
          member.state(),
          member.incarnation(),
          member.service());
    }

    @Override
    public void onPeerVersion(String id, InetSocketAddress peer, AdvertisedConfiguration mark) {
      sink.onPeerVersion(id, peer, mark.version(), mark.confirmationAgeMillis());
    }

    @Override
    public void onFingerprint(FingerprintReport report) {
      fingerprintListeners.forEach(listener -> listener.onFingerprint(report));
    }

    @Override
    public void onPause(long gapNanos) {
      Logger.warn("event=pause_detected gapMillis={}", TimeUnit.NANOSECONDS.toMillis(gapNanos));
    }
  }
}
