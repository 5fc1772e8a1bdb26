package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Assigns the rows {@code seed/<domain>/<n>} to the members that write them, by rendezvous hashing.
 *
 * <p>Members with the same view select the same writers without coordination, and a change of the
 * membership reassigns few rows.
 */
public final class SeedRowAssignment {
  /** The rows of a failure domain remain available after the loss of two hosts. */
  public static final int ROWS_PER_DOMAIN = 3;

  /** The prefix of all seed rows. */
  public static final String PREFIX = "seed/";

  private SeedRowAssignment() {}

  /** Returns the key of a row of a failure domain. */
  public static String key(String failureDomain, int row) {
    return PREFIX + failureDomain + "/" + row;
  }

  /** Returns the members that write the rows of a failure domain; the n-th writes row n. */
  public static List<Member> writers(String failureDomain, Collection<Member> members) {
    List<Member> candidates = new ArrayList<>();
    for (Member member : members) {
      if (member.failureDomain().equals(failureDomain) && canWrite(member.state())) {
        candidates.add(member);
      }
    }
    List<Member> writers = new ArrayList<>();
    while (writers.size() < ROWS_PER_DOMAIN && !candidates.isEmpty()) {
      String key = key(failureDomain, writers.size());
      Member writer =
          candidates.stream()
              .max(Comparator.comparingLong(member -> Hashes.of(key, member.id())))
              .orElseThrow();
      writers.add(writer);
      candidates.remove(writer);
    }
    return writers;
  }

  private static boolean canWrite(MemberState state) {
    return state == MemberState.JOINING || state == MemberState.UP;
  }
}
