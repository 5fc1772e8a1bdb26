package dev.arbutusroad.core.config;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Holds the newest configuration that a node knows and the time of its last confirmation by the
 * store.
 *
 * <p>A single thread updates the holder; any thread may read it. The version never decreases.
 */
public final class ConfigurationHolder {
  /**
   * The time within which an accepted configuration must be in force on every node (invariant I8).
   */
  public static final long MAX_CONFIRMATION_AGE_NANOS = TimeUnit.SECONDS.toNanos(8);

  private volatile State state = new State(Optional.empty(), 0);

  /**
   * Replaces the held configuration if the given version is greater.
   *
   * @param confirmedAtNanos a time at which the store is known to have held this version
   * @return whether the configuration was replaced
   */
  public boolean adoptIfNewer(Configuration configuration, long confirmedAtNanos) {
    if (configuration.version() <= version()) {
      return false;
    }
    state = new State(Optional.of(configuration), confirmedAtNanos);
    return true;
  }

  /**
   * Records that the store held a version at a given time. A confirmation of a version other than
   * the held one has no effect: an older version is a stale read, and a newer version must be
   * adopted first.
   */
  public void confirm(long confirmedVersion, long confirmedAtNanos) {
    State held = state;
    if (held.configuration.isPresent()
        && held.configuration.get().version() == confirmedVersion
        && confirmedAtNanos - held.confirmedAtNanos > 0) {
      state = new State(held.configuration, confirmedAtNanos);
    }
  }

  /** Returns the held configuration; empty until the first one is known. */
  public Optional<Configuration> current() {
    return state.configuration;
  }

  /** Returns the held version, or 0 if there is none. */
  public long version() {
    Optional<Configuration> held = state.configuration;
    return held.isPresent() ? held.get().version() : 0;
  }

  /** Returns the time since the last confirmation; {@link Long#MAX_VALUE} if nothing is held. */
  public long confirmationAgeNanos(long nowNanos) {
    State held = state;
    return held.configuration.isPresent() ? nowNanos - held.confirmedAtNanos : Long.MAX_VALUE;
  }

  /** Returns whether a newer version may be in force on other nodes. */
  public boolean isUnconfirmed(long nowNanos) {
    return confirmationAgeNanos(nowNanos) > MAX_CONFIRMATION_AGE_NANOS;
  }

  private record State(Optional<Configuration> configuration, long confirmedAtNanos) {}
}
