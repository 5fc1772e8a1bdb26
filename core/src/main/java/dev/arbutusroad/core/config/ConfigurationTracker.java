package dev.arbutusroad.core.config;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a node polls the store, from which peer it fetches a document, which messages
 * confirm its version and when it is ready.
 *
 * <p>Not thread-safe: a single thread drives the tracker. Times are monotonic nanoseconds.
 */
public final class ConfigurationTracker {
  /** Peers, or all if fewer are known, that a node must hear from to start without the store. */
  public static final int STARTUP_PEERS = 3;

  /** The driving loop runs every 100 ms; a gap longer than this is a pause of the process. */
  static final long PAUSE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Datagrams received during a pause are processed within this time after its end. */
  static final long UNTRUSTED_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Added to the confirmation age in a peer's message to account for its transit time. If the
   * actual transit time were greater on every hop, peers could keep each other confirmed by
   * repeating an old confirmation.
   */
  static final long PEER_TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time after which an unfinished fetch is abandoned and another peer may be asked. */
  static final long FETCH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time after which an unanswered read of the store is abandoned. */
  static final long POLL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final ConfigurationHolder holder;
  private final RandomGenerator random;
  private final long minPollNanos;

  private long currentTimeNanos;
  private long untrustedUntilNanos;
  private long pollDueAtNanos;
  private boolean pollInFlight;
  private long pollStartedAtNanos;

  private long fetchVersion;
  private long fetchStartedAtNanos;
  private long rejectedVersion;

  private boolean ready;
  private boolean confirmedByStore;
  private final Set<String> peersHeard = new HashSet<>();
  private long greatestKnownVersion;
  private long greatestKnownAtNanos;

  /** Creates a tracker with {@link PollInterval#MIN_NANOS} as the shortest mean interval. */
  public ConfigurationTracker(ConfigurationHolder holder, RandomGenerator random, long nowNanos) {
    this(holder, random, nowNanos, PollInterval.MIN_NANOS);
  }

  /**
   * Creates a tracker. The first read of the store is due immediately.
   *
   * @param minPollNanos the shortest mean interval between two reads of the store
   */
  public ConfigurationTracker(
      ConfigurationHolder holder, RandomGenerator random, long nowNanos, long minPollNanos) {
    this.minPollNanos = minPollNanos;
    this.holder = holder;
    this.random = random;
    this.currentTimeNanos = nowNanos;
    this.untrustedUntilNanos = nowNanos;
    this.pollDueAtNanos = nowNanos;
  }

  /** Sets the current time. Must be called before the other methods in each step of the loop. */
  public void advanceTo(long nowNanos) {
    if (nowNanos - currentTimeNanos > PAUSE_THRESHOLD_NANOS) {
      untrustedUntilNanos = nowNanos + UNTRUSTED_AGE_NANOS;
    }
    currentTimeNanos = nowNanos;
  }

  /** Returns whether to start a read of the store now; if so, records it as started. */
  public boolean startPoll(int members) {
    boolean awaitingAnswer =
        pollInFlight && currentTimeNanos - pollStartedAtNanos < POLL_TIMEOUT_NANOS;
    if (awaitingAnswer || currentTimeNanos - pollDueAtNanos < 0) {
      return false;
    }
    pollInFlight = true;
    pollStartedAtNanos = currentTimeNanos;
    pollDueAtNanos = currentTimeNanos + PollInterval.nextNanos(members, minPollNanos, random);
    return true;
  }

  /** Makes the next read of the store due immediately. */
  public void requestPoll() {
    pollDueAtNanos = currentTimeNanos;
  }

  /** Records that a read of the store has ended, successfully or not. */
  public void recordPollEnd() {
    pollInFlight = false;
  }

  /**
   * Records the version read from the store.
   *
   * @param version the version, or 0 if none has been applied yet
   * @param sentAtNanos when the read was sent; the version was in force at that time or later
   * @return whether the document of the version is needed
   */
  public boolean recordStoreVersion(long version, long sentAtNanos) {
    recordKnownVersion(version);
    holder.confirm(version, sentAtNanos);
    confirmedByStore |= version != 0 && version == holder.version();
    return isNeeded(version);
  }

  /**
   * Adopts a configuration read from the store if it is newer.
   *
   * @param sentAtNanos when the read of its version was sent
   * @return whether it replaced the held configuration
   */
  public boolean adoptStoreConfiguration(Configuration configuration, long sentAtNanos) {
    confirmedByStore = true;
    return holder.adoptIfNewer(configuration, sentAtNanos);
  }

  /**
   * Records the version that a peer reported.
   *
   * @param peer the id of the peer
   * @param version its version, or 0 if it has none
   * @param confirmedAtNanos when the store confirmed that version: the time of receipt less the
   *     confirmation age in the message
   * @return whether to fetch the document from this peer; if so, the fetch is recorded as started
   */
  public boolean recordPeerVersion(String peer, long version, long confirmedAtNanos) {
    recordKnownVersion(version);
    if (!ready && peersHeard.size() < STARTUP_PEERS) {
      peersHeard.add(peer);
    }
    if (isPeerAgeTrusted()) {
      holder.confirm(version, confirmedAtNanos - PEER_TRANSIT_NANOS);
    }
    if (!isNeeded(version)) {
      return false;
    }
    boolean fetchInProgress =
        fetchVersion >= version && currentTimeNanos - fetchStartedAtNanos < FETCH_TIMEOUT_NANOS;
    if (fetchInProgress) {
      return false;
    }
    fetchVersion = version;
    fetchStartedAtNanos = currentTimeNanos;
    return true;
  }

  /**
   * Adopts a configuration fetched from a peer if it is newer.
   *
   * @param confirmedAtNanos when the store confirmed its version
   * @return whether it replaced the held configuration
   */
  public boolean adoptPeerConfiguration(Configuration configuration, long confirmedAtNanos) {
    return holder.adoptIfNewer(configuration, confirmedAtNanos);
  }

  /**
   * Records that this node cannot use the document of a version. The document of a version never
   * changes, so it is not fetched again. The node keeps its own version, which becomes unconfirmed.
   */
  public void rejectVersion(long version) {
    rejectedVersion = version;
  }

  private boolean isNeeded(long version) {
    return version > holder.version() && version != rejectedVersion;
  }

  /**
   * Returns whether the confirmation age in a peer's message can be trusted. A message that was
   * buffered by the socket during a pause is older than it appears, so messages processed shortly
   * after a pause do not confirm a version.
   */
  private boolean isPeerAgeTrusted() {
    return currentTimeNanos - untrustedUntilNanos >= 0;
  }

  private void recordKnownVersion(long version) {
    if (version > greatestKnownVersion) {
      greatestKnownVersion = version;
      greatestKnownAtNanos = currentTimeNanos;
    }
  }

  /**
   * Returns whether the node may serve calls. A node that is ready stays ready.
   *
   * @param knownPeers the number of peers that the node knows
   */
  public boolean isReady(int knownPeers) {
    if (!ready) {
      int requiredPeers = Math.max(1, Math.min(STARTUP_PEERS, knownPeers));
      boolean enoughSources = confirmedByStore || peersHeard.size() >= requiredPeers;
      ready = holder.current().isPresent() && enoughSources && holdsGreatestOrTimedOut();
    }
    return ready;
  }

  /**
   * Returns whether the node holds the greatest known version or has waited long enough for it.
   * Without the bound, a version whose only holder died would prevent the node from starting.
   */
  private boolean holdsGreatestOrTimedOut() {
    return holder.version() >= greatestKnownVersion
        || currentTimeNanos - greatestKnownAtNanos > ConfigurationHolder.MAX_CONFIRMATION_AGE_NANOS;
  }
}
