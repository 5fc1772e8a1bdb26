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
 * Keeps the configuration of this node up to date: polls the store, follows the versions that peers
 * advertise and publishes the newest configuration.
 *
 * <p>The agent's thread owns the state; other threads add events to a bounded queue. A full queue
 * drops its oldest event. This is safe because peers repeat their versions and the tracker times
 * out polls and fetches whose results are lost.
 */
public final class ConfigurationAgent
    implements PeerVersionListener, ConfigurationSource, AutoCloseable {
  private static final int EVENT_QUEUE_CAPACITY = 1_024;
  private static final long STEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  private final VersionSource store;
  private final PeerDocumentFetcher peerDocuments;
  private final Ticker ticker;
  private final IntSupplier memberCount;
  private final Consumer<Configuration> onAdopted;
  private final ConfigurationHolder holder;
  private final ConfigurationTracker tracker;
  private final MpmcArrayQueue<Runnable> events = new MpmcArrayQueue<>(EVENT_QUEUE_CAPACITY);
  private final Thread thread = new Thread(this::run, "configuration");

  private boolean unconfirmed = true;
  private volatile boolean ready;
  private volatile boolean stopped;
  private volatile String lastProblem = "";
  private volatile String rejection = "";

  /**
   * Creates an agent without starting it.
   *
   * @param holder publishes the configuration; only this agent updates it
   * @param minPollNanos the lower bound of the mean interval between two polls of the store
   * @param memberCount returns the number of members that are not dead, including this node
   * @param onAdopted called on the agent's thread with each configuration that comes into force
   */
  public ConfigurationAgent(
      ConfigurationHolder holder,
      VersionSource store,
      PeerDocumentFetcher peerDocuments,
      Ticker ticker,
      RandomGenerator random,
      long minPollNanos,
      IntSupplier memberCount,
      Consumer<Configuration> onAdopted) {
    this.holder = holder;
    this.store = store;
    this.peerDocuments = peerDocuments;
    this.ticker = ticker;
    this.memberCount = memberCount;
    this.onAdopted = onAdopted;
    this.tracker = new ConfigurationTracker(holder, random, ticker.nanos(), minPollNanos);
  }

  /** Starts the agent's thread. */
  public void start() {
    thread.start();
  }

  /** Returns the configuration in force; empty until the first one is known. Thread-safe. */
  public Optional<Configuration> current() {
    return holder.current();
  }

  /** Returns whether a newer version may be in force elsewhere. Thread-safe. */
  public boolean isUnconfirmed() {
    return holder.isUnconfirmed(ticker.nanos());
  }

  /** Returns whether the node holds a configuration that it may serve calls with. Thread-safe. */
  public boolean isReady() {
    return ready;
  }

  /** Returns a snapshot of the state for operators. Thread-safe. */
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

  /** Requests an immediate poll of the store, because a newer version may have been applied. */
  public void requestPoll() {
    enqueue(tracker::requestPoll);
  }

  @Override
  public void onPeerVersion(
      String peerId, InetSocketAddress peerAddress, long version, long confirmationAgeMillis) {
    long confirmedAt = confirmedAt(ticker.nanos(), confirmationAgeMillis);
    enqueue(
        () -> {
          if (tracker.recordPeerVersion(peerId, version, confirmedAt)) {
            fetch(peerAddress, version);
          }
        });
  }

  /**
   * Converts a confirmation age to a time. Ages are capped at one day, which prevents an overflow
   * of the subtraction.
   */
  private static long confirmedAt(long nowNanos, long ageMillis) {
    long bounded = Math.min(Math.max(0, ageMillis), TimeUnit.DAYS.toMillis(1));
    return nowNanos - TimeUnit.MILLISECONDS.toNanos(bounded);
  }

  private void fetch(InetSocketAddress peer, long version) {
    long sentAt = ticker.nanos();
    enqueueResult(
        peerDocuments.fetch(peer, version),
        (result, error) -> onPeerDocument(peer, sentAt, result, error));
  }

  private void onPeerDocument(
      InetSocketAddress peer, long sentAt, Optional<PeerDocument> result, Throwable error) {
    if (error != null || result.isEmpty()) {
      lastProblem = "peer " + peer + (error == null ? " has no document" : ": " + error);
      Logger.warn("event=configuration_fetch_failed peer={} reason={}", peer, error);
      return;
    }
    PeerDocument document = result.get();
    long version = document.advertised().version();
    if (version <= holder.version()) {
      return;
    }
    long confirmedAt = confirmedAt(sentAt, document.advertised().confirmationAgeMillis());
    Either<Failure, Configuration> parsed =
        store.format().parse("version " + version, document.document(), version);
    if (parsed.isLeft()) {
      recordRejection(version, parsed.getLeft());
    } else if (tracker.adoptPeerConfiguration(parsed.get(), confirmedAt)) {
      recordAdoption(parsed.get(), "peer");
    }
  }

  private void recordRejection(long version, Failure failure) {
    tracker.rejectVersion(version);
    rejection = failure.toString();
    Logger.error("event=configuration_rejected version={} reason=\"{}\"", version, failure);
  }

  private void recordAdoption(Configuration configuration, String source) {
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
    enqueueResult(
        store.readCurrentVersion(), (answer, error) -> onStoreVersion(sentAt, answer, error));
  }

  private void onStoreVersion(
      long sentAt, Either<Failure, Optional<VersionEntry>> answer, Throwable error) {
    if (error != null || answer.isLeft()) {
      tracker.recordPollEnd();
      lastProblem = error == null ? answer.getLeft().toString() : error.toString();
      Logger.debug("event=configuration_poll_failed reason=\"{}\"", lastProblem);
      return;
    }
    Optional<VersionEntry> entry = answer.get();
    if (tracker.recordStoreVersion(entry.map(VersionEntry::version).orElse(0L), sentAt)) {
      enqueueResult(
          store.read(entry.orElseThrow()),
          (result, readError) -> onStoreDocument(entry.get(), sentAt, result, readError));
      return;
    }
    tracker.recordPollEnd();
    lastProblem = "";
  }

  private void onStoreDocument(
      VersionEntry entry, long sentAt, Either<Failure, Configuration> result, Throwable error) {
    tracker.recordPollEnd();
    if (error != null) {
      lastProblem = error.toString();
    } else if (result.isRight()) {
      if (tracker.adoptStoreConfiguration(result.get(), sentAt)) {
        recordAdoption(result.get(), "store");
      }
    } else if (isInvalidDocument(result.getLeft())) {
      recordRejection(entry.version(), result.getLeft());
    } else {
      lastProblem = result.getLeft().toString();
    }
  }

  /**
   * Returns whether the failure is permanent. A missing object or an unreachable store may recover;
   * an invalid document of a version stays invalid.
   */
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

  private <T> void enqueueResult(CompletableFuture<T> future, BiConsumer<T, Throwable> handler) {
    var unused =
        future.whenComplete((result, error) -> enqueue(() -> handler.accept(result, error)));
  }

  private void enqueue(Runnable event) {
    while (!events.offer(event)) {
      events.poll();
    }
    LockSupport.unpark(thread);
  }

  private void run() {
    while (!stopped) {
      step();
      LockSupport.parkNanos(this, STEP_INTERVAL_NANOS);
    }
  }

  /** Runs one step of the agent's thread: handles the queued events and starts a poll if due. */
  void step() {
    tracker.advanceTo(ticker.nanos());
    Runnable event = events.poll();
    while (event != null) {
      event.run();
      event = events.poll();
    }
    if (tracker.startPoll(memberCount.getAsInt())) {
      poll();
    }
    if (!ready && tracker.isReady(memberCount.getAsInt() - 1)) {
      ready = true;
      Logger.info("event=configuration_ready version={}", version());
    }
    logConfirmationChange();
  }

  private void logConfirmationChange() {
    boolean currentlyUnconfirmed = isUnconfirmed();
    if (currentlyUnconfirmed != unconfirmed && current().isPresent()) {
      unconfirmed = currentlyUnconfirmed;
      Logger.info(
          "event={} version={} age_ms={}",
          currentlyUnconfirmed ? "configuration_unconfirmed" : "configuration_confirmed",
          version(),
          confirmationAgeMillis());
    }
  }

  /** Stops the agent's thread. The configuration in force stays readable. */
  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(thread);
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
