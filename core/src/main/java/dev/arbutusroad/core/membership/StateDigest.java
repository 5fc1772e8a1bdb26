package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * One hash per bucket of member ids, so that a state exchange carries only the differing buckets.
 *
 * <p>A bucket's hash is the XOR of its members' hashes and is updated in constant time. Dead
 * members are excluded, since members remove them at different times.
 */
final class StateDigest {
  /** At 1,900 members a bucket holds about 30 records, which take 3 KB on the wire. */
  static final int BUCKETS = 64;

  private final long[] hashes = new long[BUCKETS];

  /** Returns the bucket of a member id. */
  static int bucketOf(String id) {
    return Math.floorMod(id.hashCode(), BUCKETS);
  }

  /** Adds a member, or removes it if the same record was added before. */
  void toggle(Member member) {
    if (member.state() != MemberState.DEAD) {
      hashes[bucketOf(member.id())] ^=
          Hashes.of(member.id(), Long.toString(member.incarnation()), member.state().name());
    }
  }

  List<Long> hashes() {
    List<Long> list = new ArrayList<>(BUCKETS);
    for (long hash : hashes) {
      list.add(hash);
    }
    return list;
  }

  /** Returns the buckets whose hashes differ from the given ones; all if the counts differ. */
  List<Integer> differing(List<Long> others) {
    List<Integer> buckets = new ArrayList<>();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      if (others.size() != BUCKETS || others.get(bucket) != hashes[bucket]) {
        buckets.add(bucket);
      }
    }
    return buckets;
  }
}
