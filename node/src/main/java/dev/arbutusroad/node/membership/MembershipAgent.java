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
 * Runs the membership protocol of this node on its own thread and publishes the member view.
 *
 * <p>Thread-safe. No method blocks except {@link #close()}.
 */
public final class MembershipAgent implements AutoCloseable {
  /** Holds the datagrams of a few seconds at the design size. */
  private static final int EVENT_QUEUE_CAPACITY = 1_024;

  private static final long STEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Building the view of 1,900 members takes about a millisecond, so changes are batched. */
  private static final long PUBLISH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final Ticker ticker = Ticker.system();
  private final DropOldestRing<Runnable> events = new DropOldestRing<>(EVENT_QUEUE_CAPACITY);
  private final PeerTraffic traffic = new PeerTraffic();
  private final List<FingerprintListener> fingerprintListeners = new CopyOnWriteArrayList<>();
  private final DatagramSeal seal;
  private final PeerTransport transport;
  private final MembershipProtocol protocol;
  private final Optional<SeedRows> seedRows;
  private final Thread thread;
  private long lastPublishNanos;
  private volatile ConfigurationSource source = ConfigurationSource.NONE;
  private volatile PeerVersionListener versionListener = (id, address, version, ageMillis) -> {};
  private volatile MemberView view;
  private volatile Member self;
  private volatile boolean stale;
  private volatile boolean joined;
  private volatile long lastStepNanos;
  private volatile Map<String, Integer> sizes;
  private volatile boolean stopping;

  private MembershipAgent(MembershipOptions options) throws IOException {
    seal = new DatagramSeal(options.secret());
    transport =
        new PeerTransport(options.secret(), options.self().id(), new MessageHandler(), traffic);
    thread = new Thread(this::run, "membership");
    thread.setDaemon(true);
    try {
      int port = transport.bind(options.bindAddress());
      Member boundSelf = withBoundPort(options.self(), port);
      protocol = new MembershipProtocol(boundSelf, options.seeds(), environment());
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
   * Binds the peer address and starts joining.
   *
   * @throws IOException if the address cannot be bound
   */
  public static MembershipAgent start(MembershipOptions options) throws IOException {
    MembershipAgent agent = new MembershipAgent(options);
    agent.thread.start();
    return agent;
  }

  /** Returns the view published last. */
  public MemberView view() {
    return view;
  }

  /** Returns this node's own record, as published last. */
  public Member self() {
    return self;
  }

  /**
   * Returns whether this process was paused, so that its view may be outdated. The node must not
   * answer calls until this is false again.
   */
  public boolean isStale() {
    return stale || MembershipProtocol.pausedSince(lastStepNanos, ticker.nanos());
  }

  /** Returns whether a state exchange with another member has succeeded since the start. */
  public boolean hasJoined() {
    return joined;
  }

  /** Announces that this node's target serves a service. Idempotent. */
  public void announce(String service) {
    execute(() -> protocol.announce(service));
  }

  /** Withdraws this node's target after it has ended or is no longer announced. */
  public void withdraw() {
    execute(protocol::withdraw);
  }

  /**
   * Tells all members that this node's target takes no new calls. Another target may be announced
   * later.
   */
  public void markTargetLeaving() {
    execute(protocol::markTargetLeaving);
  }

  /** Tells all members that this node takes no new calls and is going to stop. */
  public void leave() {
    execute(protocol::leave);
  }

  /** Requests an immediate probe of a member, after connections to it have failed. */
  public void reportUnreachable(String memberId) {
    execute(() -> protocol.probeSoon(memberId));
  }

  /** Disseminates a fingerprint report, also to the listeners of this node. */
  public void reportFingerprint(FingerprintReport report) {
    execute(() -> protocol.reportFingerprint(report));
  }

  /** Adds a listener for fingerprint reports of this node and its peers. */
  public void addFingerprintListener(FingerprintListener listener) {
    fingerprintListeners.add(listener);
  }

  /**
   * Connects the configuration of this node.
   *
   * @param newSource provides the version and document that peers see
   * @param newListener receives the versions of peers
   */
  public void connectConfiguration(ConfigurationSource newSource, PeerVersionListener newListener) {
    source = newSource;
    versionListener = newListener;
  }

  /**
   * Fetches the configuration document from a peer.
   *
   * @param minVersion the lowest acceptable version; 0 accepts any
   * @return the document, or empty if the peer has no such version; fails with an IOException if
   *     the peer cannot be reached
   */
  public CompletableFuture<Optional<PeerDocument>> fetchDocument(
      InetSocketAddress peer, long minVersion) {
    return transport
        .request(peer, new Frame.DocumentRequest(minVersion))
        .thenCompose(
            frame ->
                frame instanceof Frame.DocumentReply give
                    ? CompletableFuture.completedFuture(
                        give.document()
                            .map(document -> new PeerDocument(give.configuration(), document)))
                    : CompletableFuture.failedFuture(
                        new PeerConnectionException(
                            "unexpected frame in response to a document request")));
  }

  /** Returns a snapshot of the state for operators, serializable as JSON. */
  public Map<String, Object> dump() {
    return MembershipDump.of(this, events.dropped());
  }

  /** Returns the counts of control messages since the start. */
  public Map<String, Long> traffic() {
    return traffic.snapshot();
  }

  /** Returns the sizes of the protocol's collections, as published last. */
  Map<String, Integer> sizes() {
    return sizes;
  }

  /** Tells some members that this process is ending and stops the agent. */
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
    events.put(event);
    LockSupport.unpark(thread);
  }

  private void run() {
    while (!stopping) {
      // Read before the step, so that isStale() detects a pause during the step.
      long startNanos = ticker.nanos();
      try {
        runEvents();
        protocol.step();
        seedRows.ifPresent(rows -> rows.step(ticker.nanos(), protocol.view(), protocol.self()));
        transport.flush();
        publish(startNanos);
      } catch (RuntimeException e) {
        Logger.error(e, "event=membership_step_failed");
      }
      LockSupport.parkNanos(this, STEP_INTERVAL_NANOS);
    }
  }

  private void runEvents() {
    Runnable event = events.poll();
    while (event != null) {
      event.run();
      event = events.poll();
    }
  }

  private void publish(long nowNanos) {
    stale = protocol.isStale();
    joined = protocol.hasJoined();
    lastStepNanos = nowNanos;
    if (nowNanos - lastPublishNanos >= PUBLISH_INTERVAL_NANOS) {
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
        new SocketGossipTransport(),
        () -> {
          ConfigurationSource current = source;
          return new AdvertisedConfiguration(current.version(), current.confirmationAgeMillis());
        },
        GossipCodec::memberBytes,
        new ProtocolListener());
  }

  private static Member withBoundPort(Member member, int port) {
    if (member.peerAddress().getPort() != 0) {
      return member;
    }
    InetSocketAddress peer = new InetSocketAddress(member.peerAddress().getAddress(), port);
    return member.withAddresses(member.callerAddress(), peer);
  }

  /** Sends the protocol's messages on the sockets. Called on the membership thread. */
  private final class SocketGossipTransport implements GossipTransport {
    @Override
    public int send(InetSocketAddress to, Gossip gossip) {
      byte[] datagram = seal.seal(GossipCodec.encode(gossip));
      transport.send(to, datagram);
      return datagram.length;
    }

    @Override
    public void exchange(InetSocketAddress peer) {
      var unused =
          transport
              .request(
                  peer, new Frame.ExchangeRequest(protocol.stateRequest()), this::onStateAnswer)
              .whenComplete(
                  (frame, error) -> {
                    if (error != null) {
                      traffic.exchangesFailed.increment();
                      Logger.debug(
                          "event=exchange_failed peer={} reason=\"{}\"", peer, error.toString());
                    }
                  });
    }

    private CompletableFuture<Frame> onStateAnswer(Frame frame) {
      CompletableFuture<Frame> push = new CompletableFuture<>();
      if (frame instanceof Frame.ExchangeReply answer) {
        execute(() -> push.complete(new Frame.ExchangePush(protocol.complete(answer.reply()))));
      } else {
        push.completeExceptionally(
            new PeerConnectionException("unexpected frame in response to a state request"));
      }
      return push;
    }
  }

  /** Passes messages of peers on to the membership thread. */
  private final class MessageHandler implements PeerMessageHandler {
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
    public Frame.DocumentReply document(long minVersion) {
      ConfigurationSource current = source;
      long version = current.version();
      return new Frame.DocumentReply(
          new AdvertisedConfiguration(version, current.confirmationAgeMillis()),
          version >= minVersion ? current.document() : Optional.empty());
    }
  }

  /** Logs the protocol's events and passes them on to the listeners of this node. */
  private final class ProtocolListener implements MembershipListener {
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
    public void onPeerVersion(
        String id, InetSocketAddress peer, AdvertisedConfiguration advertised) {
      versionListener.onPeerVersion(
          id, peer, advertised.version(), advertised.confirmationAgeMillis());
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
