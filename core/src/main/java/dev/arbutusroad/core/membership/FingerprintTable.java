package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The newest report about each fingerprint, bounded in number and age. */
final class FingerprintTable {
  /** Reports of kind {@code MARKED} expire after ten minutes, so older ones have no effect. */
  static final long RETENTION_MILLIS = 600_000;

  static final int CAPACITY = 1_024;

  private record Entry(FingerprintReport report, long originNanos) {
    long ageMillis(long nowNanos) {
      return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - originNanos));
    }
  }

  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /** Merges a report and returns whether it changed the table. */
  boolean merge(FingerprintReport report, long nowNanos) {
    if (report.ageMillis() >= RETENTION_MILLIS) {
      return false;
    }
    Entry known = entries.get(report.value());
    if (known != null
        && known.ageMillis(nowNanos) < RETENTION_MILLIS
        && !report.supersedes(known.report())) {
      return false;
    }
    entries.remove(report.value());
    if (entries.size() >= CAPACITY) {
      entries.remove(entries.keySet().iterator().next());
    }
    long originNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(report.ageMillis());
    entries.put(report.value(), new Entry(report, originNanos));
    return true;
  }

  /** Returns the report about a fingerprint with its current age. */
  Optional<FingerprintReport> get(long value, long nowNanos) {
    return Optional.ofNullable(entries.get(value))
        .filter(entry -> entry.ageMillis(nowNanos) < RETENTION_MILLIS)
        .map(entry -> entry.report().withAgeMillis(entry.ageMillis(nowNanos)));
  }

  /** Returns all reports with their current ages and drops the expired ones. */
  List<FingerprintReport> all(long nowNanos) {
    entries.values().removeIf(entry -> entry.ageMillis(nowNanos) >= RETENTION_MILLIS);
    List<FingerprintReport> reports = new ArrayList<>(entries.size());
    for (Entry entry : entries.values()) {
      reports.add(entry.report().withAgeMillis(entry.ageMillis(nowNanos)));
    }
    return reports;
  }
}
