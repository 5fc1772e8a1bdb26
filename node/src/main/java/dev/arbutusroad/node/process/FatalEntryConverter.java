package dev.arbutusroad.node.process;

import dev.arbutusroad.core.fatal.FatalEntry;
import dev.arbutusroad.core.fatal.Fingerprint;
import dev.arbutusroad.core.membership.FingerprintKind;
import dev.arbutusroad.core.membership.FingerprintReport;
import java.util.concurrent.TimeUnit;

/**
 * Converts between the entries of the gate's fatal table and the fingerprint reports that
 * membership disseminates.
 */
final class FatalEntryConverter {
  private FatalEntryConverter() {}

  static FingerprintReport toReport(FatalEntry entry) {
    FingerprintKind kind =
        switch (entry.status()) {
          case SUSPECT -> FingerprintKind.SUSPECT;
          case CLEARED -> FingerprintKind.CLEARED;
          case MARKED -> FingerprintKind.MARKED;
        };
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(entry.ageNanos());
    return new FingerprintReport(entry.fingerprint().value(), kind, entry.count(), ageMillis);
  }

  static FatalEntry toEntry(FingerprintReport report) {
    FatalEntry.Status status =
        switch (report.kind()) {
          case SUSPECT -> FatalEntry.Status.SUSPECT;
          case CLEARED -> FatalEntry.Status.CLEARED;
          case MARKED -> FatalEntry.Status.MARKED;
        };
    long ageNanos = TimeUnit.MILLISECONDS.toNanos(report.ageMillis());
    return new FatalEntry(new Fingerprint(report.value()), status, report.count(), ageNanos);
  }
}
