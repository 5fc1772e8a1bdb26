package dev.arbutusroad.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The admission levels that responses have carried, for each target and kind of call.
 *
 * <p>A node refuses a call that is below the learned levels of all targets before any work is spent
 * on it, and prefers targets whose level admits a call. A response carries the strictest level that
 * its call met, here or deeper in the graph, so the learned level moves towards each seen level by
 * a share of the distance. A level that is not refreshed is lowered step by step, which lets some
 * calls through that learn the present one.
 */
public final class LevelTable {
  static final long EXPIRY_NANOS = 1_000_000_000L;
  static final long STEP_NANOS = 100_000_000L;

  /** Bounds the memory; a node has far fewer (target, kind) pairs in use. */
  static final int MAX_ENTRIES = 4_096;

  /** The share of the distance that one response moves the learned level. */
  private static final double LEARNED_SHARE = 0.25;

  /**
   * A lowering step keeps this share of the level, so that the highest level is open within 2 s of
   * the last response, the target for recovery; with 0.75 it took 3 s.
   */
  private static final double STEP_SHARE = 0.5;

  /** A lowering step is at least half of one importance. */
  private static final int MIN_STEP = AdmissionLevel.GROUPS / 2;

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
  public void learn(String target, String kind, AdmissionLevel seen, long nowNanos) {
    Key key = new Key(target, kind);
    Learned learned = entries.get(key);
    if (learned == null) {
      if (seen.rank() > 0) {
        entries.put(key, new Learned(seen.rank(), nowNanos));
      }
      return;
    }
    learned.lower(nowNanos);
    double distance = seen.rank() - learned.rank;
    learned.rank =
        Math.abs(distance) < MIN_STEP ? seen.rank() : learned.rank + LEARNED_SHARE * distance;
    learned.freshUntilNanos = nowNanos + EXPIRY_NANOS;
    if (learned.rank < 1) {
      entries.remove(key);
    }
  }

  /** The level below which calls are refused; open if none is known. */
  public AdmissionLevel level(String target, String kind, long nowNanos) {
    Key key = new Key(target, kind);
    Learned learned = entries.get(key);
    if (learned == null) {
      return AdmissionLevel.OPEN;
    }
    learned.lower(nowNanos);
    if (learned.rank < 1) {
      entries.remove(key);
      return AdmissionLevel.OPEN;
    }
    return new AdmissionLevel((int) learned.rank);
  }

  /**
   * The level below which every one of some targets refuses calls; open if there are none, as a
   * call that one of them may admit is not refused.
   */
  public AdmissionLevel lowest(Iterable<String> targets, String kind, long nowNanos) {
    AdmissionLevel lowest = null;
    for (String target : targets) {
      AdmissionLevel level = level(target, kind, nowNanos);
      lowest = lowest == null || level.rank() < lowest.rank() ? level : lowest;
    }
    return lowest == null ? AdmissionLevel.OPEN : lowest;
  }

  /** The learned levels by {@code target/kind}, for dumps. */
  public SortedMap<String, AdmissionLevel> snapshot() {
    SortedMap<String, AdmissionLevel> levels = new TreeMap<>();
    entries.forEach(
        (key, learned) ->
            levels.put(key.target() + "/" + key.kind(), new AdmissionLevel((int) learned.rank)));
    return levels;
  }

  private record Key(String target, String kind) {}

  private static final class Learned {
    private double rank;
    private long freshUntilNanos;

    Learned(double rank, long nowNanos) {
      this.rank = rank;
      this.freshUntilNanos = nowNanos + EXPIRY_NANOS;
    }

    void lower(long nowNanos) {
      while (nowNanos - freshUntilNanos >= 0 && rank >= 1) {
        rank = Math.max(0, Math.min(rank * STEP_SHARE, rank - MIN_STEP));
        freshUntilNanos += STEP_NANOS;
      }
    }
  }
}
