package dev.arbutusroad.core.fatal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The bounded table of fingerprints that are suspects, cleared or marked. */
final class FatalTable {
  /** One death makes at most as many suspects as calls run at a target, 90 at present. */
  static final int MAX_ENTRIES = 4_096;

  /** Marks and suspects end after this time, so that a repaired target is not guarded for ever. */
  static final long EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** The count of a mark: more than any suspect reaches, so nothing replaces a mark. */
  private static final int MARK_COUNT = 1_000_000;

  private record Known(FatalEntry.Status status, int count, long sinceNanos) {
    boolean isBefore(FatalEntry.Status other, int otherCount) {
      return otherCount > count || (otherCount == count && other.compareTo(status) > 0);
    }
  }

  /** In the order in which entries were put; the first one is given up when there is no room. */
  private final Map<Fingerprint, Known> entries = new LinkedHashMap<>();

  private final Set<Fingerprint> changes = new LinkedHashSet<>();

  boolean isEmpty() {
    return entries.isEmpty();
  }

  Optional<FatalEntry.Status> status(Fingerprint fingerprint, long nowNanos) {
    Known known = entries.isEmpty() ? null : entries.get(fingerprint);
    if (known == null) {
      return Optional.empty();
    }
    if (nowNanos - known.sinceNanos() >= EXPIRY_NANOS) {
      entries.remove(fingerprint);
      changes.remove(fingerprint);
      return Optional.empty();
    }
    return Optional.of(known.status());
  }

  /** Puts what was found out at this node. */
  void put(Fingerprint fingerprint, FatalEntry.Status status, long nowNanos) {
    boolean unknown = status(fingerprint, nowNanos).isEmpty();
    Known old = entries.get(fingerprint);
    int known = unknown ? 1 : old.count();
    int count =
        switch (status) {
          case MARKED -> MARK_COUNT;
          case CLEARED -> known;
          case SUSPECT -> !unknown && old.status() == FatalEntry.Status.CLEARED ? known + 1 : known;
        };
    put(new FatalEntry(fingerprint, status, count, 0), nowNanos);
  }

  /** Puts a statement, unless one that takes precedence is known. */
  void put(FatalEntry entry, long nowNanos) {
    Fingerprint fingerprint = entry.fingerprint();
    boolean unknown = status(fingerprint, nowNanos).isEmpty();
    boolean news = unknown || entries.get(fingerprint).isBefore(entry.status(), entry.count());
    if (!news || entry.ageNanos() >= EXPIRY_NANOS) {
      return;
    }
    entries.remove(fingerprint);
    entries.put(fingerprint, new Known(entry.status(), entry.count(), nowNanos - entry.ageNanos()));
    changes.add(fingerprint);
    if (entries.size() > MAX_ENTRIES) {
      Fingerprint oldest = entries.keySet().iterator().next();
      entries.remove(oldest);
      changes.remove(oldest);
    }
  }

  /** Removes what has expired. */
  void expire(long nowNanos) {
    entries.values().removeIf(known -> nowNanos - known.sinceNanos() >= EXPIRY_NANOS);
    changes.retainAll(entries.keySet());
  }

  /** Takes up to a number of changes since the last call. */
  List<FatalEntry> takeChanges(int limit, long nowNanos) {
    List<FatalEntry> taken = new ArrayList<>();
    for (Fingerprint fingerprint : List.copyOf(changes)) {
      if (taken.size() == limit) {
        break;
      }
      changes.remove(fingerprint);
      Known known = entries.get(fingerprint);
      taken.add(entry(fingerprint, known, nowNanos));
    }
    return taken;
  }

  /** Everything that is known. */
  List<FatalEntry> all(long nowNanos) {
    expire(nowNanos);
    List<FatalEntry> all = new ArrayList<>(entries.size());
    entries.forEach((fingerprint, known) -> all.add(entry(fingerprint, known, nowNanos)));
    return all;
  }

  int count(FatalEntry.Status status) {
    int count = 0;
    for (Known known : entries.values()) {
      count += known.status() == status ? 1 : 0;
    }
    return count;
  }

  private static FatalEntry entry(Fingerprint fingerprint, Known known, long nowNanos) {
    return new FatalEntry(
        fingerprint, known.status(), known.count(), Math.max(0, nowNanos - known.sinceNanos()));
  }
}
