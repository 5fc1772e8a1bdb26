package dev.arbutusroad.core.fatal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects requests that crash targets and prevents them from running on further targets.
 *
 * <p>Requests whose connections break when a target dies become suspects. A target that keeps other
 * connections open or answers on them has not died: it has lost an answer, and its requests do not
 * become suspects. A suspect runs only while no other suspect is in flight at its target. If that
 * target dies as well, the only suspect in flight is marked, and marked requests are refused. If
 * several suspects were in flight, because copies of them had started before the first death was
 * known, none is marked, as a harmless request must never be marked.
 *
 * <p>Not thread-safe: an instance is confined to one event loop.
 */
public final class FatalRequests {
  /** Whether a request may run at the local target at this moment. */
  public enum Verdict {
    RUN,
    /** Another suspect is in flight: check again when a request has finished. */
    WAIT,
    /** The request has crashed two targets. */
    REFUSE
  }

  /**
   * The time within which all connections of a process that dies are seen to break; ample, as the
   * target runs on the same host. A request that is still in flight afterwards was not affected.
   */
  public static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final FatalTable table = new FatalTable();
  private final Map<Fingerprint, Integer> inFlight = new HashMap<>();
  private final Set<Fingerprint> suspectsInFlight = new HashSet<>();
  private final Set<Fingerprint> brokenRequests = new HashSet<>();
  private final Set<Fingerprint> brokenSuspects = new HashSet<>();
  private long brokenSinceNanos;
  private int startedSinceBreak;
  private boolean answeredSinceBreak;
  private long deaths;

  /** Returns whether no request has a status or awaits one, so that every request may run. */
  public boolean isEmpty() {
    return table.isEmpty() && brokenRequests.isEmpty();
  }

  /** Returns whether a request may run. */
  public Verdict check(Fingerprint fingerprint, long nowNanos) {
    evaluateBrokenRequests(nowNanos);
    Optional<FatalEntry.Status> status = table.status(fingerprint, nowNanos);
    if (status.isEmpty()) {
      return Verdict.RUN;
    }
    return switch (status.orElseThrow()) {
      case CLEARED -> Verdict.RUN;
      case MARKED -> Verdict.REFUSE;
      case SUSPECT ->
          suspectsInFlight.isEmpty() && brokenRequests.isEmpty() ? Verdict.RUN : Verdict.WAIT;
    };
  }

  /** Does the same as {@link #check}, and counts the request as in flight if it may run. */
  public Verdict begin(Fingerprint fingerprint, long nowNanos) {
    Verdict verdict = check(fingerprint, nowNanos);
    if (verdict == Verdict.RUN) {
      inFlight.merge(fingerprint, 1, Integer::sum);
      startedSinceBreak++;
      if (isSuspect(fingerprint, nowNanos)) {
        suspectsInFlight.add(fingerprint);
      }
    }
    return verdict;
  }

  /**
   * Records the end of a request that has begun. Does nothing if it has ended already.
   *
   * @param completed whether the target sent its whole answer
   */
  public void finish(Fingerprint fingerprint, boolean completed, long nowNanos) {
    if (!inFlight.containsKey(fingerprint)) {
      return;
    }
    decrementInFlight(fingerprint);
    answeredSinceBreak |= completed;
    if (completed && isSuspect(fingerprint, nowNanos)) {
      table.put(fingerprint, FatalEntry.Status.CLEARED, nowNanos);
      suspectsInFlight.remove(fingerprint);
    }
  }

  /** Records the end of a request whose connection to the target broke. */
  public void connectionBroken(Fingerprint fingerprint, long nowNanos) {
    if (!inFlight.containsKey(fingerprint)) {
      return;
    }
    if (brokenRequests.isEmpty()) {
      brokenSinceNanos = nowNanos;
      startedSinceBreak = 0;
      answeredSinceBreak = false;
    }
    brokenRequests.add(fingerprint);
    if (suspectsInFlight.contains(fingerprint)) {
      brokenSuspects.add(fingerprint);
    }
    decrementInFlight(fingerprint);
  }

  /**
   * Decides whether the broken requests mean that the target died; to be called a few times a
   * second.
   */
  public void evaluateBrokenRequests(long nowNanos) {
    if (brokenRequests.isEmpty() || nowNanos - brokenSinceNanos < GRACE_NANOS) {
      return;
    }
    if (isTargetAlive()) {
      brokenRequests.clear();
      brokenSuspects.clear();
    } else {
      recordDeath(nowNanos);
    }
  }

  /**
   * Returns whether the target outlived the broken connections. The death of a process breaks all
   * its connections, and a new process cannot answer within {@link #GRACE_NANOS}.
   */
  private boolean isTargetAlive() {
    return answeredSinceBreak || inFlight() > startedSinceBreak;
  }

  /** Records that the local target has died with all its requests in flight. */
  public void targetDied(long nowNanos) {
    for (Fingerprint fingerprint : List.copyOf(inFlight.keySet())) {
      connectionBroken(fingerprint, nowNanos);
      inFlight.remove(fingerprint);
      suspectsInFlight.remove(fingerprint);
    }
    if (!brokenRequests.isEmpty()) {
      recordDeath(nowNanos);
    }
  }

  private void recordDeath(long nowNanos) {
    deaths++;
    if (brokenSuspects.size() == 1) {
      Fingerprint fatalRequest = brokenSuspects.iterator().next();
      table.put(fatalRequest, FatalEntry.Status.MARKED, nowNanos);
    } else {
      for (Fingerprint fingerprint : brokenRequests) {
        table.put(fingerprint, FatalEntry.Status.SUSPECT, nowNanos);
        if (inFlight.containsKey(fingerprint)) {
          suspectsInFlight.add(fingerprint);
        }
      }
    }
    brokenRequests.clear();
    brokenSuspects.clear();
  }

  /** Merges entries received from other nodes. */
  public void merge(List<FatalEntry> entries, long nowNanos) {
    for (FatalEntry entry : entries) {
      Fingerprint fingerprint = entry.fingerprint();
      table.put(entry, nowNanos);
      if (isSuspect(fingerprint, nowNanos) && inFlight.containsKey(fingerprint)) {
        suspectsInFlight.add(fingerprint);
      } else if (!isSuspect(fingerprint, nowNanos)) {
        suspectsInFlight.remove(fingerprint);
      }
    }
  }

  /**
   * Removes and returns up to {@code limit} changed entries to be sent to other nodes, including
   * those that were received from other nodes.
   */
  public List<FatalEntry> takeChanges(int limit, long nowNanos) {
    return table.takeChanges(limit, nowNanos);
  }

  /** Returns all entries, for a full exchange of state and for state dumps. */
  public List<FatalEntry> entries(long nowNanos) {
    return table.all(nowNanos);
  }

  /** Returns the number of entries with a status, for metrics. */
  public int count(FatalEntry.Status status) {
    return table.count(status);
  }

  /** Returns how often the local target died, or appeared to, with requests in flight. */
  public long deaths() {
    return deaths;
  }

  /** Returns the number of requests in flight at the local target. */
  public int inFlight() {
    int total = 0;
    for (int count : inFlight.values()) {
      total += count;
    }
    return total;
  }

  private void decrementInFlight(Fingerprint fingerprint) {
    if (inFlight.merge(fingerprint, -1, Integer::sum) == 0) {
      inFlight.remove(fingerprint);
      suspectsInFlight.remove(fingerprint);
    }
  }

  /** Returns whether a request is a suspect or marked. */
  public boolean isSuspectOrMarked(Fingerprint fingerprint, long nowNanos) {
    return table
        .status(fingerprint, nowNanos)
        .filter(status -> status != FatalEntry.Status.CLEARED)
        .isPresent();
  }

  /** Returns whether a request was in flight when a target died and has not completed since. */
  public boolean isSuspect(Fingerprint fingerprint, long nowNanos) {
    Optional<FatalEntry.Status> status = table.status(fingerprint, nowNanos);
    return status.isPresent() && status.orElseThrow() == FatalEntry.Status.SUSPECT;
  }
}
