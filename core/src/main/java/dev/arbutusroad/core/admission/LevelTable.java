package dev.arbutusroad.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The admission levels that responses have carried, for each target and class of calls.
 *
 * <p>A node refuses a call that is below the learned levels of all targets before any work is spent
 * on it, and prefers targets whose level admits a call. A response carries the strictest level that
 * its call met, here or deeper in the graph, so the learned level moves towards each seen level by
 * a share of the distance. The distance is counted in origin groups of the importance of the class:
 * levels above or below that importance refuse all of the class or none of it. A level that is not
 * refreshed is lowered step by step, which lets some calls through that learn the present one.
 */
public final class LevelTable {
  static final long EXPIRY_NANOS = 1_000_000_000L;
  static final long STEP_NANOS = 100_000_000L;

  /** Bounds the memory; a node has far fewer (target, kind) pairs in use. */
  static final int MAX_ENTRIES = 4_096;

  /** The share of the distance that one response moves the learned level. */
  private static final double LEARNED_SHARE = 0.25;

  /** A lowering step keeps this share of the refused groups. */
  private static final double STEP_SHARE = 0.75;

  /** The least lowering step in groups: all are open within 2 s, the target for recovery. */
  private static final int MIN_STEP = AdmissionLevel.GROUPS / 16;

  private final Map<Key, Learned> entries =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Learned> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Whether no level is known, so that all calls are admitted. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Takes in the level of a response. */
  public void recordLevel(String target, CallClass calls, AdmissionLevel seen, long nowNanos) {
    Key key = new Key(target, calls);
    int seenGroups = seen.refusedGroups(calls.importance());
    Learned learned = entries.get(key);
    if (learned == null) {
      if (seenGroups > 0) {
        entries.put(key, new Learned(seenGroups, nowNanos));
      }
      return;
    }
    learned.lower(nowNanos);
    double distance = seenGroups - learned.groups;
    learned.groups =
        Math.abs(distance) < MIN_STEP ? seenGroups : learned.groups + LEARNED_SHARE * distance;
    learned.freshUntilNanos = nowNanos + EXPIRY_NANOS;
    if (learned.groups < 1) {
      entries.remove(key);
    }
  }

  /** The level below which calls are refused; open if none is known. */
  public AdmissionLevel level(String target, CallClass calls, long nowNanos) {
    Key key = new Key(target, calls);
    Learned learned = entries.get(key);
    if (learned == null) {
      return AdmissionLevel.OPEN;
    }
    learned.lower(nowNanos);
    if (learned.groups < 1) {
      entries.remove(key);
      return AdmissionLevel.OPEN;
    }
    return learned.level(calls);
  }

  /**
   * The level below which every one of some targets refuses calls; open if there are none, as a
   * call that one of them may admit is not refused.
   */
  public AdmissionLevel lowest(Iterable<String> targets, CallClass calls, long nowNanos) {
    AdmissionLevel lowest = null;
    for (String target : targets) {
      AdmissionLevel level = level(target, calls, nowNanos);
      lowest = lowest == null || level.rank() < lowest.rank() ? level : lowest;
    }
    return lowest == null ? AdmissionLevel.OPEN : lowest;
  }

  /** The learned levels by {@code target/kind/importance}, for dumps. */
  public SortedMap<String, AdmissionLevel> snapshot() {
    SortedMap<String, AdmissionLevel> levels = new TreeMap<>();
    entries.forEach(
        (key, learned) -> levels.put(key.target() + "/" + key.calls(), learned.level(key.calls())));
    return levels;
  }

  private record Key(String target, CallClass calls) {}

  private static final class Learned {
    private double groups;
    private long freshUntilNanos;

    Learned(double groups, long nowNanos) {
      this.groups = groups;
      this.freshUntilNanos = nowNanos + EXPIRY_NANOS;
    }

    AdmissionLevel level(CallClass calls) {
      return AdmissionLevel.refusing(calls.importance(), (int) groups);
    }

    void lower(long nowNanos) {
      while (nowNanos - freshUntilNanos >= 0 && groups >= 1) {
        groups = Math.max(0, Math.min(groups * STEP_SHARE, groups - MIN_STEP));
        freshUntilNanos += STEP_NANOS;
      }
    }
  }
}
