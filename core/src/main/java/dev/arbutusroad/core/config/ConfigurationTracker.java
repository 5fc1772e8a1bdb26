package dev.arbutusroad.core.config;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a node reads the store, which peer's document it fetches, which reports confirm its
 * version and when it is ready. Driven by one thread; times are monotonic nanoseconds.
 */
public final class ConfigurationTracker {
  /** A restarted node without the store asks this many peers, or all that it knows. */
  public static final int STARTUP_PEERS = 3;

  /** The driving loop runs every 100 ms; a longer gap than this means that the process paused. */
  static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Datagrams that arrived during a pause are read within this time after it. */
  static final long DISTRUST_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Added to the age that a peer states, for the time its message took. If the true time were
   * greater on every hop, peers could keep each other confirmed by repeating an old confirmation.
   */
  static final long PEER_TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** After this time a fetch is given up and another peer may be asked. */
  static final long FETCH_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** After this time an unanswered read of the store is given up. */
  static final long POLL_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final ConfigurationHolder holder;
  private final RandomGenerator random;
  private final long minPollNanos;

  private long observedAt;
  private long distrustUntil;
  private long pollDueAt;
  private boolean pollInFlight;
  private long pollStartedAt;

  private long fetchVersion;
  private long fetchStartedAt;
  private long rejectedVersion;

  private boolean ready;
  private boolean storeSettled;
  private final Set<String> answeredPeers = new HashSet<>();
  private long greatestHeard;
  private long greatestHeardAt;

  /** The first read of the store is due at once. */
  public ConfigurationTracker(ConfigurationHolder holder, RandomGenerator random, long nowNanos) {
    this(holder, random, nowNanos, PollInterval.MIN_NANOS);
  }

  /**
   * Creates a tracker.
   *
   * @param minPollNanos the shortest mean interval between two reads of the store
   */
  public ConfigurationTracker(
      ConfigurationHolder holder, RandomGenerator random, long nowNanos, long minPollNanos) {
    this.minPollNanos = minPollNanos;
    this.holder = holder;
    this.random = random;
    this.observedAt = nowNanos;
    this.distrustUntil = nowNanos;
    this.pollDueAt = nowNanos;
  }

  /** Notes the time. Call this before any other method of the same step. */
  public void advanceTo(long nowNanos) {
    if (nowNanos - observedAt > PAUSE_NANOS) {
      distrustUntil = nowNanos + DISTRUST_NANOS;
    }
    observedAt = nowNanos;
  }

  /** Whether a read of the store must start now; if so, it counts as started. */
  public boolean startPoll(int members) {
    boolean waiting = pollInFlight && observedAt - pollStartedAt < POLL_LIMIT_NANOS;
    if (waiting || observedAt - pollDueAt < 0) {
      return false;
    }
    pollInFlight = true;
    pollStartedAt = observedAt;
    pollDueAt = observedAt + PollInterval.nextNanos(members, minPollNanos, random);
    return true;
  }

  /** Makes the next read of the store due at once. */
  public void requestPoll() {
    pollDueAt = observedAt;
  }

  /** A read of the store has ended, with or without success. */
  public void recordPollEnd() {
    pollInFlight = false;
  }

  /**
   * The store held a version.
   *
   * @param version the version, 0 if nothing has been applied yet
   * @param sentAtNanos when the read was sent; the version was current at that time or later
   * @return whether its document is needed
   */
  public boolean recordStoreVersion(long version, long sentAtNanos) {
    hear(version);
    holder.confirm(version, sentAtNanos);
    storeSettled |= version != 0 && version == holder.version();
    return isWanted(version);
  }

  /** The store's document of a version that it held when a read was sent. */
  public boolean adoptStoreConfiguration(Configuration configuration, long sentAtNanos) {
    storeSettled = true;
    return holder.adoptIfNewer(configuration, sentAtNanos);
  }

  /**
   * A peer stated its version.
   *
   * @param peer the id of the peer
   * @param version its version, 0 for none
   * @param confirmedAtNanos when the store confirmed that version: the time at which the message
   *     was received less the age that it states
   * @return whether to fetch the document from this peer; if so, the fetch counts as started
   */
  public boolean recordPeerVersion(String peer, long version, long confirmedAtNanos) {
    hear(version);
    if (!ready && answeredPeers.size() < STARTUP_PEERS) {
      answeredPeers.add(peer);
    }
    if (isPeerAgeTrusted()) {
      holder.confirm(version, confirmedAtNanos - PEER_TRANSIT_NANOS);
    }
    if (!isWanted(version)) {
      return false;
    }
    boolean fetching = fetchVersion >= version && observedAt - fetchStartedAt < FETCH_LIMIT_NANOS;
    if (fetching) {
      return false;
    }
    fetchVersion = version;
    fetchStartedAt = observedAt;
    return true;
  }

  /** A peer's document has arrived. */
  public boolean adoptPeerConfiguration(Configuration configuration, long confirmedAtNanos) {
    return holder.adoptIfNewer(configuration, confirmedAtNanos);
  }

  /**
   * The document of a version is invalid for this node. A version's document never changes, so it
   * is not fetched again; the node stays with its own version, which becomes unconfirmed.
   */
  public void rejectVersion(long version) {
    rejectedVersion = version;
  }

  private boolean isWanted(long version) {
    return version > holder.version() && version != rejectedVersion;
  }

  /**
   * Statements that waited in a socket buffer while the process was paused are older than they
   * look, so for a moment after a pause they don't confirm anything.
   */
  private boolean isPeerAgeTrusted() {
    return observedAt - distrustUntil >= 0;
  }

  private void hear(long version) {
    if (version > greatestHeard) {
      greatestHeard = version;
      greatestHeardAt = observedAt;
    }
  }

  /**
   * Whether the node may serve calls. Once it is ready it stays so.
   *
   * @param knownPeers the number of peers that the node knows
   */
  public boolean isReady(int knownPeers) {
    if (!ready) {
      int needed = Math.max(1, Math.min(STARTUP_PEERS, knownPeers));
      boolean asked = storeSettled || answeredPeers.size() >= needed;
      ready = holder.current().isPresent() && asked && holdsGreatestOrWaitedForIt();
    }
    return ready;
  }

  /** Without a limit, a version whose only holder died would keep the node from starting. */
  private boolean holdsGreatestOrWaitedForIt() {
    return holder.version() >= greatestHeard
        || observedAt - greatestHeardAt > ConfigurationHolder.MAX_CONFIRMATION_AGE_NANOS;
  }
}
