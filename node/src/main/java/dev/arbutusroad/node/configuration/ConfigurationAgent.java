package dev.arbutusroad.node.configuration;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationHolder;
import dev.arbutusroad.core.config.ConfigurationTracker;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.VersionEntry;
import dev.arbutusroad.core.store.VersionSource;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.node.membership.ConfigurationSource;
import dev.arbutusroad.node.membership.PeerDocument;
import dev.arbutusroad.node.membership.PeerVersionListener;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jctools.queues.MpmcArrayQueue;
import org.tinylog.Logger;

/**
 * Keeps the configuration of this node up to date: reads the store, follows the versions of peers
 * and publishes the newest configuration. Its own thread owns the state; other threads add events
 * to a bounded ring. A full ring drops its oldest event: statements of peers are repeated, and the
 * tracker gives up answers that never come.
 */
public final class ConfigurationAgent
    implements PeerVersionListener, ConfigurationSource, AutoCloseable {
  private static final int RING_CAPACITY = 1_024;
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long STOP_LIMIT_MILLIS = 2_000;

  private final VersionSource store;
  private final PeerDocumentFetcher peers;
  private final Ticker ticker;
  private final IntSupplier members;
  private final Consumer<Configuration> onAdopted;
  private final ConfigurationHolder holder;
  private final ConfigurationTracker tracker;
  private final MpmcArrayQueue<Runnable> ring = new MpmcArrayQueue<>(RING_CAPACITY);
  private final Thread thread = new Thread(this::run, "configuration");

  private boolean unconfirmed = true;
  private volatile boolean ready;
  private volatile boolean stopped;
  private volatile String lastProblem = "";
  private volatile String rejection = "";

  /**
   * A duty that has not started.
   *
   * @param holder publishes the configuration; only this duty changes it
   * @param minPollNanos the shortest mean interval between two reads of the store
   * @param members counts the members that are not dead, this node included
   * @param onAdopted called on the duty's thread with each configuration that comes into force
   */
  public ConfigurationAgent(
      ConfigurationHolder holder,
      VersionSource store,
      PeerDocumentFetcher peers,
      Ticker ticker,
      RandomGenerator random,
      long minPollNanos,
      IntSupplier members,
      Consumer<Configuration> onAdopted) {
    this.holder = holder;
    this.store = store;
    this.peers = peers;
    this.ticker = ticker;
    this.members = members;
    this.onAdopted = onAdopted;
    this.tracker = new ConfigurationTracker(holder, random, ticker.nanos(), minPollNanos);
  }

  /** Starts the duty's thread. */
  public void start() {
    thread.start();
  }

  /** The configuration in force; empty until the first one is known. Any thread may ask. */
  public Optional<Configuration> current() {
    return holder.current();
  }

  /** Whether a newer version may be in force elsewhere. Any thread may ask. */
  public boolean isUnconfirmed() {
    return holder.isUnconfirmed(ticker.nanos());
  }

  /** Whether the node holds a configuration that it may serve calls with. */
  public boolean isReady() {
    return ready;
  }

  /** A snapshot for operators. Any thread may ask. */
  public ConfigurationStatus status() {
    return new ConfigurationStatus(
        version(),
        current().map(Configuration::hash).orElse(""),
        confirmationAgeMillis(),
        isUnconfirmed(),
        ready,
        rejection.isEmpty() ? lastProblem : rejection);
  }

  @Override
  public long version() {
    return holder.version();
  }

  @Override
  public Optional<String> document() {
    return current().map(Configuration::document);
  }

  @Override
  public long confirmationAgeMillis() {
    long ageNanos = holder.confirmationAgeNanos(ticker.nanos());
    return ageNanos == Long.MAX_VALUE
        ? Long.MAX_VALUE
        : TimeUnit.NANOSECONDS.toMillis(Math.max(0, ageNanos));
  }

  /** Reads the store at once: an operator said that a version was applied. */
  public void requestPoll() {
    post(tracker::requestPoll);
  }

  @Override
  public void onPeerVersion(
      String peerId, InetSocketAddress peerAddress, long version, long confirmationAgeMillis) {
    long confirmedAt = confirmedAt(ticker.nanos(), confirmationAgeMillis);
    post(
        () -> {
          if (tracker.peerVersion(peerId, version, confirmedAt)) {
            fetch(peerAddress, version);
          }
        });
  }

  /** Ages beyond a day are all the same, and a bound keeps the subtraction from overflowing. */
  private static long confirmedAt(long nowNanos, long ageMillis) {
    long bounded = Math.min(Math.max(0, ageMillis), TimeUnit.DAYS.toMillis(1));
    return nowNanos - TimeUnit.MILLISECONDS.toNanos(bounded);
  }

  private void fetch(InetSocketAddress peer, long version) {
    long sentAt = ticker.nanos();
    postResult(
        peers.fetch(peer, version), (found, problem) -> fetched(peer, sentAt, found, problem));
  }

  private void fetched(
      InetSocketAddress peer, long sentAt, Optional<PeerDocument> found, Throwable problem) {
    if (problem != null || found.isEmpty()) {
      lastProblem = "peer " + peer + (problem == null ? " has no document" : ": " + problem);
      Logger.warn("event=configuration_fetch_failed peer={} reason={}", peer, problem);
      return;
    }
    PeerDocument document = found.get();
    long version = document.mark().version();
    if (version <= holder.version()) {
      return;
    }
    long confirmedAt = confirmedAt(sentAt, document.mark().confirmationAgeMillis());
    Either<Failure, Configuration> parsed =
        store.format().parse("version " + version, document.document(), version);
    if (parsed.isLeft()) {
      rejected(version, parsed.getLeft());
    } else if (tracker.peerConfiguration(parsed.get(), confirmedAt)) {
      adopted(parsed.get(), "peer");
    }
  }

  private void rejected(long version, Failure failure) {
    tracker.rejectVersion(version);
    rejection = failure.toString();
    Logger.error("event=configuration_rejected version={} reason=\"{}\"", version, failure);
  }

  private void adopted(Configuration configuration, String source) {
    lastProblem = "";
    rejection = "";
    Logger.info(
        "event=configuration_adopted version={} hash={} source={}",
        configuration.version(),
        configuration.hash(),
        source);
    onAdopted.accept(configuration);
  }

  private void poll() {
    long sentAt = ticker.nanos();
    postResult(store.readCurrentVersion(), (answer, problem) -> polled(sentAt, answer, problem));
  }

  private void polled(
      long sentAt, Either<Failure, Optional<VersionEntry>> answer, Throwable problem) {
    if (problem != null || answer.isLeft()) {
      tracker.pollEnded();
      lastProblem = problem == null ? answer.getLeft().toString() : problem.toString();
      Logger.debug("event=configuration_poll_failed reason=\"{}\"", lastProblem);
      return;
    }
    Optional<VersionEntry> entry = answer.get();
    if (tracker.storeVersion(entry.map(VersionEntry::version).orElse(0L), sentAt)) {
      postResult(
          store.read(entry.orElseThrow()),
          (read, lost) -> documentRead(entry.get(), sentAt, read, lost));
      return;
    }
    tracker.pollEnded();
    lastProblem = "";
  }

  private void documentRead(
      VersionEntry entry, long sentAt, Either<Failure, Configuration> read, Throwable problem) {
    tracker.pollEnded();
    if (problem != null) {
      lastProblem = problem.toString();
    } else if (read.isRight()) {
      if (tracker.storeConfiguration(read.get(), sentAt)) {
        adopted(read.get(), "store");
      }
    } else if (isInvalidDocument(read.getLeft())) {
      rejected(entry.version(), read.getLeft());
    } else {
      lastProblem = read.getLeft().toString();
    }
  }

  /** A missing object or an unreachable store may get better; an invalid document does not. */
  private static boolean isInvalidDocument(Failure failure) {
    return switch (failure.code()) {
      case SETTINGS_SYNTAX,
          SETTINGS_UNKNOWN_KEY,
          SETTINGS_DUPLICATE_KEY,
          SETTINGS_MISSING_KEY,
          SETTINGS_TYPE,
          SETTINGS_RANGE,
          SELECTOR_SYNTAX,
          SELECTOR_NEVER_MATCHES,
          RULES_CONTRADICT ->
          true;
      default -> false;
    };
  }

  private <T> void postResult(CompletableFuture<T> future, BiConsumer<T, Throwable> handler) {
    var unused =
        future.whenComplete((result, problem) -> post(() -> handler.accept(result, problem)));
  }

  private void post(Runnable event) {
    while (!ring.offer(event)) {
      ring.poll();
    }
    LockSupport.unpark(thread);
  }

  private void run() {
    while (!stopped) {
      step();
      LockSupport.parkNanos(this, STEP_NANOS);
    }
  }

  /** One step of the duty's thread: handles the waiting events and starts a read that is due. */
  void step() {
    tracker.observe(ticker.nanos());
    Runnable event = ring.poll();
    while (event != null) {
      event.run();
      event = ring.poll();
    }
    if (tracker.startPoll(members.getAsInt())) {
      poll();
    }
    if (!ready && tracker.isReady(members.getAsInt() - 1)) {
      ready = true;
      Logger.info("event=configuration_ready version={}", version());
    }
    noteConfirmation();
  }

  private void noteConfirmation() {
    boolean now = isUnconfirmed();
    if (now != unconfirmed && current().isPresent()) {
      unconfirmed = now;
      Logger.info(
          "event={} version={} age_ms={}",
          now ? "configuration_unconfirmed" : "configuration_confirmed",
          version(),
          confirmationAgeMillis());
    }
  }

  /** Stops the duty's thread. The configuration in force stays readable. */
  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(thread);
    try {
      thread.join(STOP_LIMIT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
