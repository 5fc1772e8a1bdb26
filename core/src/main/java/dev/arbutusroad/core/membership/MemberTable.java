package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** The members that one node knows, including dead ones for the retention time. */
public final class MemberTable {
  private final String selfId;
  private final RandomGenerator random;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> deadSinceNanos = new HashMap<>();
  private final StateDigest digest = new StateDigest();

  /** The ids of all other members that are not dead, for random selection in constant time. */
  private final IndexedIds livePeers = new IndexedIds();

  private final IndexedIds deadPeers = new IndexedIds();
  private long revision;
  private MemberSnapshot snapshot;

  /** Creates a table that holds the node's own record. */
  public MemberTable(Member self, RandomGenerator random) {
    selfId = self.id();
    this.random = Objects.requireNonNull(random, "random");
    store(self, 0);
    snapshot = new MemberSnapshot(revision, members.values());
  }

  /** Returns the node's own record. */
  public Member self() {
    return members.get(selfId);
  }

  /** Replaces the node's own record. */
  void replaceSelf(Member self) {
    store(self, 0);
  }

  /** Returns the record of a member, which may be dead. */
  public Optional<Member> get(String id) {
    return Optional.ofNullable(members.get(id));
  }

  /** Merges a record of another member and returns the resulting record if it changed anything. */
  Optional<Member> merge(Member update, long nowNanos) {
    if (update.id().equals(selfId)) {
      throw new IllegalArgumentException("the node's own record cannot be merged, only replaced");
    }
    if (!members.containsKey(update.id()) && members.size() >= MembershipTiming.MEMBER_CAPACITY) {
      return Optional.empty();
    }
    Optional<Member> changed = MergeRule.merge(get(update.id()), update);
    changed.ifPresent(member -> store(member, nowNanos));
    return changed;
  }

  /** Records the configuration version that a member advertised; older versions are ignored. */
  void recordConfigurationVersion(String id, long version) {
    Member known = members.get(id);
    if (known != null && version > known.configurationVersion()) {
      // The version is not part of the disseminated state, so the revision stays the same.
      members.put(id, known.withConfigurationVersion(version));
    }
  }

  /** Removes the members that have been dead for the retention time. */
  void purgeDead(long nowNanos) {
    Set<String> expired = new HashSet<>();
    deadSinceNanos.forEach(
        (id, since) -> {
          if (nowNanos - since >= MembershipTiming.DEAD_RETENTION_NANOS) {
            expired.add(id);
          }
        });
    for (String id : expired) {
      members.remove(id);
      deadPeers.remove(id);
      deadSinceNanos.remove(id);
    }
  }

  /** Returns the number of other members that are not dead. */
  int livePeerCount() {
    return livePeers.size();
  }

  int deadPeerCount() {
    return deadPeers.size();
  }

  /** Returns the ids of the other members that are not dead, in arbitrary order. */
  List<String> livePeerIds() {
    return livePeers.ids();
  }

  /** Returns a random other member that is not dead. */
  Optional<Member> randomLivePeer() {
    return livePeers.random(random).map(members::get);
  }

  /** Returns a random dead member. */
  Optional<Member> randomDeadPeer() {
    return deadPeers.random(random).map(members::get);
  }

  /** Returns up to {@code count} distinct random other members that are not dead and match. */
  List<Member> randomLivePeers(int count, Predicate<Member> matches) {
    List<Member> selected = new ArrayList<>(count);
    // Four attempts per requested member suffice, as the predicate excludes at most one member.
    for (int attempts = 0; attempts < 4 * count && selected.size() < count; attempts++) {
      randomLivePeer()
          .filter(matches)
          .filter(member -> !selected.contains(member))
          .ifPresent(selected::add);
    }
    return selected;
  }

  StateDigest digest() {
    return digest;
  }

  /** Returns the members in the given buckets, including dead ones but not the node itself. */
  List<Member> inBuckets(List<Integer> buckets) {
    Set<Integer> wanted = new HashSet<>(buckets);
    return members.values().stream()
        .filter(member -> !member.id().equals(selfId))
        .filter(member -> wanted.contains(StateDigest.bucketOf(member.id())))
        .toList();
  }

  /** Returns the current view; the same object until a member changes. */
  public MemberView view() {
    if (snapshot.revision() != revision) {
      snapshot = new MemberSnapshot(revision, members.values());
    }
    return snapshot;
  }

  private void store(Member member, long nowNanos) {
    Member old = members.put(member.id(), member);
    if (old != null) {
      digest.toggle(old);
    }
    digest.toggle(member);
    revision++;
    if (member.id().equals(selfId)) {
      return;
    }
    if (member.state() == MemberState.DEAD) {
      livePeers.remove(member.id());
      deadPeers.add(member.id());
      deadSinceNanos.put(member.id(), nowNanos);
    } else {
      livePeers.add(member.id());
      deadPeers.remove(member.id());
      deadSinceNanos.remove(member.id());
    }
  }
}
