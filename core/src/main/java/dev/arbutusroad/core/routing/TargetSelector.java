package dev.arbutusroad.core.routing;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects a target for a call from the calls in flight, latencies and failures that this node
 * observed.
 *
 * <p>It draws two targets at random, one of them from this node's failure domain if possible, and
 * selects the one with the lower cost (the power of two choices, Mitzenmacher 2001). The cost is
 * the number of calls in flight plus one, times the average latency, times all {@link CostFactor
 * cost factors}. Not thread-safe: the data path owns it.
 */
public final class TargetSelector {
  private static final int MAX_RANDOM_DRAWS = 4;

  /** The latency assumed for both compared targets while neither has a sample. */
  private static final double DEFAULT_LATENCY_NANOS = 1_000_000;

  private final String failureDomain;
  private final RandomGenerator random;
  private final List<CostFactor> costFactors;
  private final Map<String, TargetStats> stats = new HashMap<>();
  private final Map<String, Candidates> services = new HashMap<>();

  /** Creates a selector without statistics for a node in the given region and failure domain. */
  public TargetSelector(
      String region, String failureDomain, RandomGenerator random, long nowNanos) {
    this.failureDomain = failureDomain;
    this.random = random;
    this.costFactors =
        List.of(new SlowStart(nowNanos), new DomainPreference(region, failureDomain));
  }

  /**
   * Selects a target of the service.
   *
   * @param excluded ids of members that must not be selected
   * @param preferred members that are selected before all others, as they probably admit the call
   * @return the target; empty if the service has none that is usable and not excluded
   */
  public Optional<Member> select(
      MemberView view,
      String service,
      Set<String> excluded,
      Predicate<Member> preferred,
      long nowNanos) {
    Candidates candidates = candidates(view, service, nowNanos);
    Optional<Member> selected =
        selectAmong(candidates, new Eligible(excluded, preferred), nowNanos);
    if (selected.isEmpty()) {
      selected = selectAmong(candidates, new Eligible(excluded, any -> true), nowNanos);
    }
    return selected.isPresent() ? selected : selectIgnoringHealth(candidates.all(), excluded);
  }

  /** Matches the members that are preferred and not excluded. */
  private record Eligible(Set<String> excluded, Predicate<Member> preferred)
      implements Predicate<Member> {
    @Override
    public boolean test(Member member) {
      return (excluded.isEmpty() || !excluded.contains(member.id())) && preferred.test(member);
    }
  }

  private Optional<Member> selectAmong(
      Candidates candidates, Predicate<Member> allowed, long nowNanos) {
    Optional<Member> first = draw(candidates.sameDomain(), allowed, nowNanos);
    Optional<Member> second = draw(candidates.all(), allowed, nowNanos);
    if (first.isEmpty()) {
      first = draw(candidates.all(), allowed, nowNanos);
    }
    if (first.isEmpty() || second.isEmpty()) {
      return first.isPresent() ? first : second;
    }
    return Optional.of(cheaper(first.orElseThrow(), second.orElseThrow(), nowNanos));
  }

  /** Selects any target for a first attempt if none is usable, as routing must not refuse calls. */
  private Optional<Member> selectIgnoringHealth(List<Member> members, Set<String> excluded) {
    return members.isEmpty() || !excluded.isEmpty()
        ? Optional.empty()
        : Optional.of(members.get(random.nextInt(members.size())));
  }

  /** Records that a call was sent to a member. */
  public void started(Member member, long nowNanos) {
    statsOf(member, nowNanos).started();
  }

  /** Records a complete, successful answer. */
  public void succeeded(Member member, long latencyNanos, long nowNanos) {
    statsOf(member, nowNanos).succeeded(latencyNanos, nowNanos);
  }

  /** Records an answer that is not a success. */
  public void answered(Member member, long nowNanos) {
    statsOf(member, nowNanos).answered(nowNanos);
  }

  /**
   * Records a call that ended without an answer because it timed out or its caller cancelled it.
   *
   * @return whether this call caused the member to be ejected
   */
  public boolean unanswered(Member member, long nowNanos) {
    TargetStats unresponsive = statsOf(member, nowNanos);
    unresponsive.unanswered(nowNanos);
    return unresponsive.consecutiveFailures() > 0 && eject(member, unresponsive, nowNanos);
  }

  /**
   * Records a failed call.
   *
   * @return whether this call caused the member to be ejected
   */
  public boolean failed(Member member, long nowNanos) {
    TargetStats failing = statsOf(member, nowNanos);
    failing.failed();
    return eject(member, failing, nowNanos);
  }

  private boolean eject(Member member, TargetStats failing, long nowNanos) {
    Candidates candidates = services.get(member.service());
    if (candidates == null) {
      return false;
    }
    List<TargetStats> all = new ArrayList<>(candidates.all().size());
    candidates.all().forEach(other -> all.add(statsOf(other, nowNanos)));
    return Ejection.ejectIfFailing(failing, all, nowNanos);
  }

  /** Returns the state of each target, for the state dump. */
  public List<TargetState> dump(long nowNanos) {
    List<TargetState> states = new ArrayList<>(stats.size());
    stats.forEach(
        (id, targetStats) ->
            states.add(
                new TargetState(
                    id,
                    targetStats.inFlight(),
                    (long) (targetStats.latencyNanos() / 1_000),
                    targetStats.isEjected(nowNanos))));
    return states;
  }

  private Candidates candidates(MemberView view, String service, long nowNanos) {
    Candidates existing = services.get(service);
    if (existing != null && existing.revision() == view.revision()) {
      return existing;
    }
    List<Member> all = view.serving(service);
    all.forEach(member -> statsOf(member, nowNanos));
    List<Member> sameDomain =
        all.stream().filter(member -> member.failureDomain().equals(failureDomain)).toList();
    Candidates updated = new Candidates(view.revision(), all, sameDomain);
    services.put(service, updated);
    removeDepartedMembers(view);
    return updated;
  }

  /** Removes the statistics of members that left the view and have no call in flight. */
  private void removeDepartedMembers(MemberView view) {
    Set<String> present = new HashSet<>();
    view.all().forEach(member -> present.add(member.id()));
    stats
        .entrySet()
        .removeIf(entry -> !present.contains(entry.getKey()) && entry.getValue().inFlight() == 0);
  }

  private Optional<Member> draw(List<Member> members, Predicate<Member> allowed, long nowNanos) {
    if (members.isEmpty()) {
      return Optional.empty();
    }
    for (int i = 0; i < MAX_RANDOM_DRAWS; i++) {
      Member member = members.get(random.nextInt(members.size()));
      if (isUsable(member, allowed, nowNanos)) {
        return Optional.of(member);
      }
    }
    int offset = random.nextInt(members.size());
    for (int i = 0; i < members.size(); i++) {
      Member member = members.get((offset + i) % members.size());
      if (isUsable(member, allowed, nowNanos)) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }

  private boolean isUsable(Member member, Predicate<Member> allowed, long nowNanos) {
    if (!allowed.test(member)) {
      return false;
    }
    TargetStats targetStats = statsOf(member, nowNanos);
    boolean busyOnProbation = targetStats.isOnProbation(nowNanos) && targetStats.inFlight() > 0;
    return !targetStats.isEjected(nowNanos) && !busyOnProbation;
  }

  private Member cheaper(Member a, Member b, long nowNanos) {
    TargetStats statsA = statsOf(a, nowNanos);
    TargetStats statsB = statsOf(b, nowNanos);
    double costA = cost(a, statsA, latency(statsA, statsB), nowNanos);
    double costB = cost(b, statsB, latency(statsB, statsA), nowNanos);
    return costA <= costB ? a : b;
  }

  private double cost(Member member, TargetStats targetStats, double latencyNanos, long nowNanos) {
    double cost = (targetStats.inFlight() + 1) * latencyNanos;
    for (CostFactor rule : costFactors) {
      cost *= rule.costFactor(member, targetStats, nowNanos);
    }
    return cost;
  }

  /** Returns the latency of a target; that of the other target if the first has no sample yet. */
  private static double latency(TargetStats targetStats, TargetStats other) {
    if (targetStats.latencyNanos() > 0) {
      return targetStats.latencyNanos();
    }
    return other.latencyNanos() > 0 ? other.latencyNanos() : DEFAULT_LATENCY_NANOS;
  }

  private TargetStats statsOf(Member member, long nowNanos) {
    TargetStats existing = stats.get(member.id());
    if (existing == null) {
      existing = new TargetStats(nowNanos);
      stats.put(member.id(), existing);
    }
    return existing;
  }
}
