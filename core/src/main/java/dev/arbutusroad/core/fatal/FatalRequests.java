package dev.arbutusroad.core.fatal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Finds requests that crash targets and keeps them from further ones.
 *
 * <p>Requests whose connections break when a target dies become suspects. A target that keeps other
 * connections or answers them has not died: it has lost an answer, and its requests stay innocent.
 * A suspect runs only while no other suspect is in flight at its target. If that target dies as
 * well, the one suspect in flight is marked, and marked requests are refused. If several suspects
 * were in flight, as copies of them had started before the first death was known, none is marked:
 * an innocent one must not be.
 *
 * <p>Not thread-safe: it belongs to one event loop.
 */
public final class FatalRequests {
  /** Whether a request may run at the target now. */
  public enum Verdict {
    RUN,
    /** Another suspect is in flight: ask again when a request has finished. */
    WAIT,
    /** The request has crashed two targets. */
    REFUSE
  }

  /**
   * The connections of a process that dies break together; the target runs on the same host, so
   * this is ample. A request that is still in flight afterwards was not part of the death.
   */
  public static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final FatalTable table = new FatalTable();
  private final Map<Fingerprint, Integer> inFlight = new HashMap<>();
  private final Set<Fingerprint> suspectsInFlight = new HashSet<>();
  private final Set<Fingerprint> brokenRequests = new HashSet<>();
  private final Set<Fingerprint> brokenSuspects = new HashSet<>();
  private long brokenSinceNanos;
  private int begunSinceBreak;
  private boolean answeredSinceBreak;
  private long deaths;

  /** Whether no request is known, so that every one may run. */
  public boolean isEmpty() {
    return table.isEmpty() && brokenRequests.isEmpty();
  }

  /** Whether a request may run. */
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

  /** Like {@link #check}, and counts the request as in flight if it may run. */
  public Verdict begin(Fingerprint fingerprint, long nowNanos) {
    Verdict verdict = check(fingerprint, nowNanos);
    if (verdict == Verdict.RUN) {
      inFlight.merge(fingerprint, 1, Integer::sum);
      begunSinceBreak++;
      if (isSuspect(fingerprint, nowNanos)) {
        suspectsInFlight.add(fingerprint);
      }
    }
    return verdict;
  }

  /**
   * Ends a request that was begun. Does nothing for one that has ended already.
   *
   * @param completed whether the target answered to the last byte
   */
  public void finish(Fingerprint fingerprint, boolean completed, long nowNanos) {
    if (!inFlight.containsKey(fingerprint)) {
      return;
    }
    remove(fingerprint);
    answeredSinceBreak |= completed;
    if (completed && isSuspect(fingerprint, nowNanos)) {
      table.put(fingerprint, FatalEntry.Status.CLEARED, nowNanos);
      suspectsInFlight.remove(fingerprint);
    }
  }

  /** Ends a request whose connection to the target broke. */
  public void connectionBroken(Fingerprint fingerprint, long nowNanos) {
    if (!inFlight.containsKey(fingerprint)) {
      return;
    }
    if (brokenRequests.isEmpty()) {
      brokenSinceNanos = nowNanos;
      begunSinceBreak = 0;
      answeredSinceBreak = false;
    }
    brokenRequests.add(fingerprint);
    if (suspectsInFlight.contains(fingerprint)) {
      brokenSuspects.add(fingerprint);
    }
    remove(fingerprint);
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
      conclude(nowNanos);
    }
  }

  /** The death of a process breaks all its connections; a new one can't answer so soon. */
  private boolean isTargetAlive() {
    return answeredSinceBreak || inFlight() > begunSinceBreak;
  }

  /** The local target has died with all its requests. */
  public void targetDied(long nowNanos) {
    for (Fingerprint fingerprint : List.copyOf(inFlight.keySet())) {
      connectionBroken(fingerprint, nowNanos);
      inFlight.remove(fingerprint);
      suspectsInFlight.remove(fingerprint);
    }
    if (!brokenRequests.isEmpty()) {
      conclude(nowNanos);
    }
  }

  private void conclude(long nowNanos) {
    deaths++;
    if (brokenSuspects.size() == 1) {
      Fingerprint culprit = brokenSuspects.iterator().next();
      table.put(culprit, FatalEntry.Status.MARKED, nowNanos);
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

  /** Takes in what other nodes know. */
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

  /** Takes up to {@code limit} changes that other nodes have to know, learned ones included. */
  public List<FatalEntry> takeChanges(int limit, long nowNanos) {
    return table.takeChanges(limit, nowNanos);
  }

  /** Everything that is known, for a full exchange of state and for dumps. */
  public List<FatalEntry> entries(long nowNanos) {
    return table.all(nowNanos);
  }

  /** The number of entries with a status, for metrics. */
  public int count(FatalEntry.Status status) {
    return table.count(status);
  }

  /** Times that the local target died, or broke connections, with requests in flight. */
  public long deaths() {
    return deaths;
  }

  /** Requests in flight at the local target. */
  public int inFlight() {
    int sum = 0;
    for (int count : inFlight.values()) {
      sum += count;
    }
    return sum;
  }

  private void remove(Fingerprint fingerprint) {
    if (inFlight.merge(fingerprint, -1, Integer::sum) == 0) {
      inFlight.remove(fingerprint);
      suspectsInFlight.remove(fingerprint);
    }
  }

  /** Whether a request is a suspect or marked. */
  public boolean isSuspectOrMarked(Fingerprint fingerprint, long nowNanos) {
    return table
        .status(fingerprint, nowNanos)
        .filter(status -> status != FatalEntry.Status.CLEARED)
        .isPresent();
  }

  /** Whether a request was in flight when a target died and has not completed since. */
  public boolean isSuspect(Fingerprint fingerprint, long nowNanos) {
    Optional<FatalEntry.Status> status = table.status(fingerprint, nowNanos);
    return status.isPresent() && status.orElseThrow() == FatalEntry.Status.SUSPECT;
  }
}
