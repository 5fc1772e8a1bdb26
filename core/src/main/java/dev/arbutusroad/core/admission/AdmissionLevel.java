package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.config.CallPolicy;
import java.util.Optional;

/**
 * A cut through all calls, ordered by importance and then by origin hash.
 *
 * <p>A call is admitted if its rank is at least the rank of the level. As ranks are totally ordered
 * by importance first, a more important call is never refused by a level that admits a less
 * important one, and every node admits the same origins at the same level.
 *
 * @param rank the lowest rank that is admitted
 */
public record AdmissionLevel(int rank) implements Comparable<AdmissionLevel> {
  /** Origins are divided into this many groups within one importance, as in DAGOR. */
  public static final int GROUPS = 128;

  /** The highest rank of a call; a level never exceeds it, so that some calls always pass. */
  public static final int MAX_RANK = (CallPolicy.MAX_IMPORTANCE + 1) * GROUPS - 1;

  /** Admits every call. */
  public static final AdmissionLevel OPEN = new AdmissionLevel(0);

  private static final int GROUP_SHIFT = Long.SIZE - Integer.numberOfTrailingZeros(GROUPS);

  public AdmissionLevel {
    if (rank < 0 || rank > MAX_RANK) {
      throw new IllegalArgumentException("rank must be 0 to " + MAX_RANK + ", not " + rank);
    }
  }

  /**
   * Groups that a call for a running request is ahead of a new request of the same origin. A
   * refusal would waste the work done so far, and levels move while a request runs; the lead stays
   * far below one importance, so that new requests of another kind still get their share.
   */
  static final int STARTED_LEAD_GROUPS = 16;

  /** The rank of a new request: importance first, then the group of its origin. */
  public static int rankOf(int importance, long originHash) {
    return importance * GROUPS + (int) (originHash >>> GROUP_SHIFT);
  }

  /** The rank of a call that a target makes for a running request. */
  public static int rankOfChildCall(int importance, long originHash) {
    int highest = importance * GROUPS + GROUPS - 1;
    return Math.min(highest, rankOf(importance, originHash) + STARTED_LEAD_GROUPS);
  }

  /** Whether calls of this rank pass. */
  public boolean admits(int callRank) {
    return callRank >= rank;
  }

  /** The level that refuses some groups of one importance, and all less important calls. */
  static AdmissionLevel refusing(int importance, int groups) {
    return new AdmissionLevel(Math.min(MAX_RANK, importance * GROUPS + groups));
  }

  /** How many of the groups of one importance are refused, 0 to all of them. */
  int refusedGroups(int importance) {
    return Math.max(0, Math.min(GROUPS, rank - importance * GROUPS));
  }

  /** The importance that is admitted in part; greater importance is admitted entirely. */
  public int importance() {
    return rank / GROUPS;
  }

  /** The first group of origins that is admitted within {@link #importance}. */
  public int firstGroup() {
    return rank % GROUPS;
  }

  /** The stricter of two levels. */
  public AdmissionLevel max(AdmissionLevel other) {
    return rank >= other.rank ? this : other;
  }

  /** The text form used in headers, metrics and dumps: {@code importance.group}. */
  public String format() {
    return importance() + "." + firstGroup();
  }

  /** Reads the text form; empty if it is malformed or out of range. */
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
          || group >= GROUPS) {
        return Optional.empty();
      }
      return Optional.of(new AdmissionLevel(importance * GROUPS + group));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public int compareTo(AdmissionLevel other) {
    return Integer.compare(rank, other.rank);
  }
}
