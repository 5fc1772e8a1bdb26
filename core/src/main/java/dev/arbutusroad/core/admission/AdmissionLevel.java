package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.config.CallPolicy;
import java.util.Optional;

/**
 * The admission threshold of a gate: a call is admitted if its rank is at least the rank of the
 * level.
 *
 * <p>Ranks are ordered by importance and then by the group of the origin hash. A level that admits
 * a call therefore admits every more important call, and every node admits the same origins at the
 * same level.
 *
 * @param rank the lowest rank that is admitted
 */
public record AdmissionLevel(int rank) implements Comparable<AdmissionLevel> {
  /** The number of origin groups within one importance, as in DAGOR. */
  public static final int ORIGIN_GROUPS = 128;

  /** The highest rank of a call and of a level, so that every level admits some calls. */
  public static final int MAX_RANK = (CallPolicy.MAX_IMPORTANCE + 1) * ORIGIN_GROUPS - 1;

  /** Admits every call. */
  public static final AdmissionLevel OPEN = new AdmissionLevel(0);

  private static final int ORIGIN_GROUP_SHIFT =
      Long.SIZE - Integer.numberOfTrailingZeros(ORIGIN_GROUPS);

  public AdmissionLevel {
    if (rank < 0 || rank > MAX_RANK) {
      throw new IllegalArgumentException("rank must be 0 to " + MAX_RANK + ", not " + rank);
    }
  }

  /**
   * The number of groups that a child call, one made for a running request, ranks above a new
   * request of the same origin. Refusing it would waste the work done so far, and levels change
   * while a request runs. The lead is far below one importance, so that new requests of other kinds
   * are still admitted.
   */
  static final int CHILD_CALL_LEAD_GROUPS = 16;

  /** Returns the rank of a new request, by importance and then by the group of its origin. */
  public static int rankOf(int importance, long originHash) {
    return importance * ORIGIN_GROUPS + (int) (originHash >>> ORIGIN_GROUP_SHIFT);
  }

  /** Returns the rank of a call that a target makes for a running request. */
  public static int rankOfChildCall(int importance, long originHash) {
    int highestRank = importance * ORIGIN_GROUPS + ORIGIN_GROUPS - 1;
    return Math.min(highestRank, rankOf(importance, originHash) + CHILD_CALL_LEAD_GROUPS);
  }

  /** Returns whether the level admits calls of this rank. */
  public boolean admits(int callRank) {
    return callRank >= rank;
  }

  /** Returns the level that refuses some groups of one importance and all less important calls. */
  static AdmissionLevel refusing(int importance, int groups) {
    return new AdmissionLevel(Math.min(MAX_RANK, importance * ORIGIN_GROUPS + groups));
  }

  /** Returns the number of refused groups of one importance, 0 to {@link #ORIGIN_GROUPS}. */
  int refusedGroups(int importance) {
    return Math.max(0, Math.min(ORIGIN_GROUPS, rank - importance * ORIGIN_GROUPS));
  }

  /** Returns the lowest importance that is admitted, perhaps in part. */
  public int importance() {
    return rank / ORIGIN_GROUPS;
  }

  /** Returns the first group of origins that is admitted within {@link #importance}. */
  public int firstGroup() {
    return rank % ORIGIN_GROUPS;
  }

  /** Returns the stricter of two levels. */
  public AdmissionLevel max(AdmissionLevel other) {
    return rank >= other.rank ? this : other;
  }

  /** Returns the text form used in headers, metrics and dumps: {@code importance.group}. */
  public String format() {
    return importance() + "." + firstGroup();
  }

  /** Parses the text form; empty if it is malformed or out of range. */
  public static Optional<AdmissionLevel> parse(String text) {
    int dot = text.indexOf('.');
    if (dot < 1) {
      return Optional.empty();
    }
    try {
      int importance = Integer.parseInt(text, 0, dot, 10);
      int group = Integer.parseInt(text, dot + 1, text.length(), 10);
      if (importance < 0
          || importance > CallPolicy.MAX_IMPORTANCE
          || group < 0
          || group >= ORIGIN_GROUPS) {
        return Optional.empty();
      }
      return Optional.of(new AdmissionLevel(importance * ORIGIN_GROUPS + group));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public int compareTo(AdmissionLevel other) {
    return Integer.compare(rank, other.rank);
  }
}
