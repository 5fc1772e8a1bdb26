package dev.arbutusroad.core.fatal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A bounded table of the fingerprints that are suspects, cleared or marked. */
final class FatalTable {
  /**
   * One death adds at most as many suspects as calls run at a target at a time, currently 90.
   * Beyond this size the entry that was put first is evicted.
   */
  static final int MAX_ENTRIES = 4_096;

  /** Entries expire after this time, so that requests can run again on a repaired target. */
  static final long EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** The count of a marked entry; higher than that of any suspect, so nothing supersedes it. */
  private static final int MARK_COUNT = 1_000_000;

  private record StoredStatus(FatalEntry.Status status, int count, long sinceNanos) {
    boolean isSupersededBy(FatalEntry.Status other, int otherCount) {
      return otherCount > count || (otherCount == count && other.compareTo(status) > 0);
    }
  }

  /** In the order in which entries were put; the first is evicted when the table is full. */
  private final Map<Fingerprint, StoredStatus> entries = new LinkedHashMap<>();

  private final Set<Fingerprint> changed = new LinkedHashSet<>();

  boolean isEmpty() {
    return entries.isEmpty();
  }

  Optional<FatalEntry.Status> status(Fingerprint fingerprint, long nowNanos) {
    StoredStatus stored = entries.isEmpty() ? null : entries.get(fingerprint);
    if (stored == null) {
      return Optional.empty();
    }
    if (nowNanos - stored.sinceNanos() >= EXPIRY_NANOS) {
      entries.remove(fingerprint);
      changed.remove(fingerprint);
      return Optional.empty();
    }
    return Optional.of(stored.status());
  }

  /** Puts a status that this node has detected. */
  void put(Fingerprint fingerprint, FatalEntry.Status status, long nowNanos) {
    boolean absent = status(fingerprint, nowNanos).isEmpty();
    StoredStatus old = entries.get(fingerprint);
    int currentCount = absent ? 1 : old.count();
    int count =
        switch (status) {
          case MARKED -> MARK_COUNT;
          case CLEARED -> currentCount;
          case SUSPECT ->
              !absent && old.status() == FatalEntry.Status.CLEARED
                  ? currentCount + 1
                  : currentCount;
        };
    put(new FatalEntry(fingerprint, status, count, 0), nowNanos);
  }

  /** Puts an entry, unless the table holds one of the same or a higher precedence. */
  void put(FatalEntry entry, long nowNanos) {
    Fingerprint fingerprint = entry.fingerprint();
    boolean absent = status(fingerprint, nowNanos).isEmpty();
    boolean supersedes =
        absent || entries.get(fingerprint).isSupersededBy(entry.status(), entry.count());
    if (!supersedes || entry.ageNanos() >= EXPIRY_NANOS) {
      return;
    }
    entries.remove(fingerprint);
    entries.put(
        fingerprint, new StoredStatus(entry.status(), entry.count(), nowNanos - entry.ageNanos()));
    changed.add(fingerprint);
    if (entries.size() > MAX_ENTRIES) {
      Fingerprint oldest = entries.keySet().iterator().next();
      entries.remove(oldest);
      changed.remove(oldest);
    }
  }

  /** Removes the expired entries. */
  void expire(long nowNanos) {
    entries.values().removeIf(stored -> nowNanos - stored.sinceNanos() >= EXPIRY_NANOS);
    changed.retainAll(entries.keySet());
  }

  /** Removes and returns up to {@code limit} of the entries that have changed. */
  List<FatalEntry> takeChanges(int limit, long nowNanos) {
    List<FatalEntry> taken = new ArrayList<>();
    for (Fingerprint fingerprint : List.copyOf(changed)) {
      if (taken.size() == limit) {
        break;
      }
      changed.remove(fingerprint);
      StoredStatus stored = entries.get(fingerprint);
      taken.add(entry(fingerprint, stored, nowNanos));
    }
    return taken;
  }

  /** Returns all entries that have not expired. */
  List<FatalEntry> all(long nowNanos) {
    expire(nowNanos);
    List<FatalEntry> all = new ArrayList<>(entries.size());
    entries.forEach((fingerprint, stored) -> all.add(entry(fingerprint, stored, nowNanos)));
    return all;
  }

  int count(FatalEntry.Status status) {
    int count = 0;
    for (StoredStatus stored : entries.values()) {
      count += stored.status() == status ? 1 : 0;
    }
    return count;
  }

  private static FatalEntry entry(Fingerprint fingerprint, StoredStatus stored, long nowNanos) {
    return new FatalEntry(
        fingerprint, stored.status(), stored.count(), Math.max(0, nowNanos - stored.sinceNanos()));
  }
}
