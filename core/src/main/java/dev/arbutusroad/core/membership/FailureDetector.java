package dev.arbutusroad.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Probes members, suspects those that do not answer, and declares them dead. */
final class FailureDetector {
  /** The maximum number of queued probe requests from the data path. */
  private static final int REQUESTED_PROBE_CAPACITY = 64;

  private record PendingProbe(String targetId, long sentAtNanos, boolean indirect) {
    PendingProbe shifted(long nanos) {
      return new PendingProbe(targetId, sentAtNanos + nanos, indirect);
    }
  }

  /**
   * A suspicion that ends with the death of the member unless it is refuted.
   *
   * <p>A local-only suspicion is about a member that gets no calls, so it is not disseminated. The
   * member that raised a suspicion repeats its probe, each time with the suspicion piggybacked, so
   * that a single lost message does not lead to a declared death.
   */
  private record Suspicion(
      long incarnation, long deadlineNanos, boolean localOnly, long reprobeNanos) {
    boolean isReprobeDue(long nowNanos) {
      return reprobeNanos != NO_REPROBE && nowNanos - reprobeNanos >= 0;
    }

    Suspicion withReprobeAt(long nanos) {
      return new Suspicion(incarnation, deadlineNanos, localOnly, nanos);
    }

    Suspicion withDeadline(long nanos) {
      return new Suspicion(incarnation, nanos, localOnly, reprobeNanos);
    }
  }

  private static final long NO_REPROBE = Long.MIN_VALUE;

  private final MemberTable table;
  private final DetectorActions actions;
  private final ProbeOrder probeOrder;
  private final Map<Long, PendingProbe> pendingProbes = new HashMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final Deque<String> requestedProbes = new ArrayDeque<>();
  private long nextSequence;
  private long nextProbeNanos;

  FailureDetector(
      MemberTable table, DetectorActions actions, RandomGenerator random, long nowNanos) {
    this.table = table;
    this.actions = actions;
    probeOrder = new ProbeOrder(table, random);
    nextSequence = random.nextLong(1, Integer.MAX_VALUE);
    // A random phase keeps members that start together from probing at the same moments.
    nextProbeNanos = nowNanos + random.nextLong(MembershipTiming.PROBE_INTERVAL_NANOS);
  }

  /** Returns a sequence number that no other probe sent by this member has. */
  long newSequence() {
    return nextSequence++;
  }

  /** Handles the expired probes and suspicions and sends the probes that are due. */
  void step(long nowNanos) {
    expireProbes(nowNanos);
    expireSuspicions(nowNanos);
    reprobeSuspects(nowNanos);
    probeRequested(nowNanos);
    if (nowNanos - nextProbeNanos >= 0) {
      nextProbeNanos = Math.max(nextProbeNanos + MembershipTiming.PROBE_INTERVAL_NANOS, nowNanos);
      probeOrder.next().ifPresent(target -> probe(target, nowNanos));
    }
  }

  /** Requests a probe of a member at the next step, ahead of the probe order. */
  void probeSoon(String id) {
    if (requestedProbes.size() < REQUESTED_PROBE_CAPACITY && !requestedProbes.contains(id)) {
      requestedProbes.add(id);
    }
  }

  /**
   * Handles an acknowledgement.
   *
   * @return whether it answers a pending probe
   */
  boolean onAck(long sequence, String ackedBy) {
    PendingProbe probe = pendingProbes.remove(sequence);
    if (probe == null) {
      return false;
    }
    if (!probe.targetId().equals(ackedBy)) {
      // Another process uses the address now, so the probed member has ended.
      liveMember(probe.targetId()).ifPresent(actions::declareDead);
      return true;
    }
    Suspicion suspicion = suspicions.get(ackedBy);
    if (suspicion != null && suspicion.localOnly()) {
      suspicions.remove(ackedBy);
    }
    return true;
  }

  /** Starts or ends the suspicion of a member whose record changed, whatever the source. */
  void onMemberChanged(Member member, long nowNanos) {
    Suspicion suspicion = suspicions.get(member.id());
    if (member.state() == MemberState.SUSPECT) {
      if (suspicion == null || suspicion.incarnation() < member.incarnation()) {
        startSuspicion(member, nowNanos, false);
      }
    } else if (suspicion != null) {
      suspicions.remove(member.id());
    }
  }

  /** Extends all deadlines by the time in which this member did not run. */
  void extendDeadlines(long nanos) {
    pendingProbes.replaceAll((sequence, probe) -> probe.shifted(nanos));
    suspicions.replaceAll(
        (id, suspicion) -> suspicion.withDeadline(suspicion.deadlineNanos() + nanos));
  }

  /** Discards pending probes and restarts suspicions; after a pause they prove nothing. */
  void resetAfterPause(long nowNanos) {
    pendingProbes.clear();
    requestedProbes.clear();
    suspicions.replaceAll(
        (id, suspicion) ->
            suspicion.withDeadline(nowNanos + MembershipTiming.REMOTE_SUSPICION_NANOS));
    nextProbeNanos = nowNanos;
  }

  int suspicionCount() {
    return suspicions.size();
  }

  private void probeRequested(long nowNanos) {
    while (!requestedProbes.isEmpty()) {
      liveMember(requestedProbes.remove()).ifPresent(target -> probe(target, nowNanos));
    }
  }

  private void probe(Member target, long nowNanos) {
    long sequence = newSequence();
    pendingProbes.put(sequence, new PendingProbe(target.id(), nowNanos, false));
    actions.probe(target, sequence);
  }

  private void expireProbes(long nowNanos) {
    List<String> failedIds = new ArrayList<>();
    for (Map.Entry<Long, PendingProbe> entry : List.copyOf(pendingProbes.entrySet())) {
      PendingProbe probe = entry.getValue();
      long ageNanos = nowNanos - probe.sentAtNanos();
      if (ageNanos >= MembershipTiming.PROBE_TIMEOUT_NANOS) {
        pendingProbes.remove(entry.getKey());
        failedIds.add(probe.targetId());
      } else if (ageNanos >= MembershipTiming.DIRECT_ACK_TIMEOUT_NANOS && !probe.indirect()) {
        pendingProbes.put(
            entry.getKey(), new PendingProbe(probe.targetId(), probe.sentAtNanos(), true));
        liveMember(probe.targetId())
            .ifPresent(target -> actions.probeIndirectly(target, entry.getKey()));
      }
    }
    for (String id : failedIds) {
      liveMember(id).ifPresent(member -> onProbeFailed(member, nowNanos));
    }
  }

  private void onProbeFailed(Member member, long nowNanos) {
    switch (member.state()) {
      case UP -> {
        actions.suspect(member);
        suspicions.computeIfPresent(
            member.id(),
            (id, suspicion) ->
                suspicion
                    .withDeadline(nowNanos + MembershipTiming.SUSPICION_NANOS)
                    .withReprobeAt(nowNanos + MembershipTiming.PROBE_INTERVAL_NANOS));
      }
      case JOINING, LEAVING -> {
        if (!suspicions.containsKey(member.id())) {
          startSuspicion(member, nowNanos, true);
        }
      }
      case SUSPECT, DEAD -> {
        // The suspicion has already started, or the member is already dead.
      }
    }
  }

  /**
   * Starts a suspicion. One that another member raised gets a later deadline: that member probes
   * the suspect, this one does not.
   */
  private void startSuspicion(Member member, long nowNanos, boolean localOnly) {
    long durationNanos =
        localOnly ? MembershipTiming.SUSPICION_NANOS : MembershipTiming.REMOTE_SUSPICION_NANOS;
    suspicions.put(
        member.id(),
        new Suspicion(
            member.incarnation(),
            nowNanos + durationNanos,
            localOnly,
            localOnly ? nowNanos + MembershipTiming.PROBE_INTERVAL_NANOS : NO_REPROBE));
  }

  private void reprobeSuspects(long nowNanos) {
    for (Map.Entry<String, Suspicion> entry : List.copyOf(suspicions.entrySet())) {
      if (entry.getValue().isReprobeDue(nowNanos)) {
        suspicions.put(
            entry.getKey(),
            entry.getValue().withReprobeAt(nowNanos + MembershipTiming.PROBE_INTERVAL_NANOS));
        liveMember(entry.getKey()).ifPresent(member -> probe(member, nowNanos));
      }
    }
  }

  private void expireSuspicions(long nowNanos) {
    for (Map.Entry<String, Suspicion> entry : List.copyOf(suspicions.entrySet())) {
      Suspicion suspicion = entry.getValue();
      if (nowNanos - suspicion.deadlineNanos() >= 0) {
        suspicions.remove(entry.getKey());
        liveMember(entry.getKey())
            .filter(member -> member.incarnation() == suspicion.incarnation())
            .ifPresent(actions::declareDead);
      }
    }
  }

  private Optional<Member> liveMember(String id) {
    return table.get(id).filter(member -> member.state() != MemberState.DEAD);
  }
}
