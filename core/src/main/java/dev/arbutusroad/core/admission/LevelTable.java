package dev.arbutusroad.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks the admission levels reported in responses, for each target and {@link CallClass}.
 *
 * <p>A node refuses a call that is below the learned levels of all targets before any work is spent
 * on it, and prefers targets whose level admits a call. A response carries the strictest level that
 * its call met at the target or further down the call graph, so different responses of one target
 * differ, and the learned level is an exponentially weighted average of them. It is counted in
 * refused origin groups of the importance of the class: levels above or below that importance
 * refuse all of the class or none of it. A level that no response refreshes decays step by step, so
 * that some calls are sent and their responses carry the current level.
 */
public final class LevelTable {
  /** Time after the last response until a learned level starts to decay. */
  static final long DECAY_DELAY_NANOS = 1_000_000_000L;

  static final long DECAY_INTERVAL_NANOS = 100_000_000L;

  /** Bounds the memory; a node has far fewer pairs of target and call class in use. */
  static final int MAX_ENTRIES = 4_096;

  /** The weight of one response in the average. */
  private static final double SMOOTHING_FACTOR = 0.25;

  /** The share of the refused groups that stays after a decay step. */
  private static final double DECAY_FACTOR = 0.75;

  /**
   * The smallest decay step, so that all groups are admitted within 2 s, the required recovery
   * time. A distance below it is closed by one response.
   */
  private static final int MIN_STEP_GROUPS = AdmissionLevel.ORIGIN_GROUPS / 16;

  private final Map<Key, LearnedLevel> entries =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, LearnedLevel> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Returns whether no level is known, so that all calls are admitted. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Records the level that a response carried. */
  public void recordLevel(
      String target, CallClass callClass, AdmissionLevel observed, long nowNanos) {
    Key key = new Key(target, callClass);
    int observedGroups = observed.refusedGroups(callClass.importance());
    LearnedLevel learned = entries.get(key);
    if (learned == null) {
      if (observedGroups > 0) {
        entries.put(key, new LearnedLevel(observedGroups, nowNanos));
      }
      return;
    }
    learned.decay(nowNanos);
    double distance = observedGroups - learned.refusedGroups;
    learned.refusedGroups =
        Math.abs(distance) < MIN_STEP_GROUPS
            ? observedGroups
            : learned.refusedGroups + SMOOTHING_FACTOR * distance;
    learned.nextDecayNanos = nowNanos + DECAY_DELAY_NANOS;
    if (learned.refusedGroups < 1) {
      entries.remove(key);
    }
  }

  /** Returns the level below which the target refuses calls; open if none is known. */
  public AdmissionLevel level(String target, CallClass callClass, long nowNanos) {
    Key key = new Key(target, callClass);
    LearnedLevel learned = entries.get(key);
    if (learned == null) {
      return AdmissionLevel.OPEN;
    }
    learned.decay(nowNanos);
    if (learned.refusedGroups < 1) {
      entries.remove(key);
      return AdmissionLevel.OPEN;
    }
    return learned.level(callClass);
  }

  /**
   * Returns the least strict level of the targets: a call below it is refused by all of them. Open
   * if there are no targets or one of them has no known level.
   */
  public AdmissionLevel lowest(Iterable<String> targets, CallClass callClass, long nowNanos) {
    AdmissionLevel lowest = null;
    for (String target : targets) {
      AdmissionLevel level = level(target, callClass, nowNanos);
      lowest = lowest == null || level.rank() < lowest.rank() ? level : lowest;
    }
    return lowest == null ? AdmissionLevel.OPEN : lowest;
  }

  /** Returns the learned levels by {@code target/kind/importance}, for dumps. */
  public SortedMap<String, AdmissionLevel> snapshot() {
    SortedMap<String, AdmissionLevel> levels = new TreeMap<>();
    entries.forEach(
        (key, learned) ->
            levels.put(key.target() + "/" + key.callClass(), learned.level(key.callClass())));
    return levels;
  }

  private record Key(String target, CallClass callClass) {}

  /** The smoothed level of one key, as refused origin groups of the importance of its class. */
  private static final class LearnedLevel {
    private double refusedGroups;
    private long nextDecayNanos;

    LearnedLevel(double refusedGroups, long nowNanos) {
      this.refusedGroups = refusedGroups;
      this.nextDecayNanos = nowNanos + DECAY_DELAY_NANOS;
    }

    AdmissionLevel level(CallClass callClass) {
      return AdmissionLevel.refusing(callClass.importance(), (int) refusedGroups);
    }

    void decay(long nowNanos) {
      while (nowNanos - nextDecayNanos >= 0 && refusedGroups >= 1) {
        refusedGroups =
            Math.max(0, Math.min(refusedGroups * DECAY_FACTOR, refusedGroups - MIN_STEP_GROUPS));
        nextDecayNanos += DECAY_INTERVAL_NANOS;
      }
    }
  }
}
