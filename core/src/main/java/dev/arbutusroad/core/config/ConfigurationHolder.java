package dev.arbutusroad.core.config;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The newest configuration that a node knows, and when the store last confirmed it.
 *
 * <p>One thread changes the holder; any thread may read it. The version never decreases.
 */
public final class ConfigurationHolder {
  /** The time in which an accepted configuration must be in force everywhere (invariant I8). */
  public static final long MAX_CONFIRMATION_AGE_NANOS = TimeUnit.SECONDS.toNanos(8);

  private volatile State state = new State(Optional.empty(), 0);

  /**
   * Takes over a configuration if its version is greater than the one held.
   *
   * @param confirmedAtNanos a time at which the store is known to have held this version
   * @return whether it was taken over
   */
  public boolean adoptIfNewer(Configuration configuration, long confirmedAtNanos) {
    if (configuration.version() <= version()) {
      return false;
    }
    state = new State(Optional.of(configuration), confirmedAtNanos);
    return true;
  }

  /**
   * Notes that the store held a version at a time. Confirmations of other versions than the one
   * held have no effect: an older one is a stale reading, a newer one must be taken over first.
   */
  public void confirm(long confirmedVersion, long confirmedAtNanos) {
    State held = state;
    if (held.configuration.isPresent()
        && held.configuration.get().version() == confirmedVersion
        && confirmedAtNanos - held.confirmedAtNanos > 0) {
      state = new State(held.configuration, confirmedAtNanos);
    }
  }

  /** The configuration in force; empty until the first one is known. */
  public Optional<Configuration> current() {
    return state.configuration;
  }

  /** The version in force, or 0 if there is none. */
  public long version() {
    Optional<Configuration> held = state.configuration;
    return held.isPresent() ? held.get().version() : 0;
  }

  /** How long ago the store confirmed the version; the greatest long without a configuration. */
  public long confirmationAgeNanos(long nowNanos) {
    State held = state;
    return held.configuration.isPresent() ? nowNanos - held.confirmedAtNanos : Long.MAX_VALUE;
  }

  /** Whether a newer version may be in force elsewhere. */
  public boolean isUnconfirmed(long nowNanos) {
    return confirmationAgeNanos(nowNanos) > MAX_CONFIRMATION_AGE_NANOS;
  }

  private record State(Optional<Configuration> configuration, long confirmedAtNanos) {}
}
