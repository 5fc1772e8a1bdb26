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
 * Picks a target for a call from what this node has seen itself.
 *
 * <p>Two targets are drawn at random, one of them from this node's failure domain if it has any,
 * and the cheaper one is taken: calls in flight times average latency times the factors of the
 * weight rules (the power of two choices, Mitzenmacher 2001). Not thread-safe: the data path owns
 * it.
 */
public final class TargetSelector {
  private static final int MAX_DRAWS = 4;

  /** Cost of a target whose latency is not known yet when no other target's is either. */
  private static final double DEFAULT_LATENCY_NANOS = 1_000_000;

  private final String failureDomain;
  private final RandomGenerator random;
  private final List<RoutingWeight> weights;
  private final Map<String, TargetStats> stats = new HashMap<>();
  private final Map<String, Candidates> services = new HashMap<>();

  /** Creates an empty table for a node in the given region and failure domain. */
  public TargetSelector(
      String region, String failureDomain, RandomGenerator random, long nowNanos) {
    this.failureDomain = failureDomain;
    this.random = random;
    this.weights = List.of(new SlowStart(nowNanos), new DomainPreference(region, failureDomain));
  }

  /**
   * Picks a target of the service.
   *
   * @param excluded ids of members that must not be picked
   * @param preferred members that are picked before all others, as they are likely to take the call
   */
  public Optional<Member> select(
      MemberView view,
      String service,
      Set<String> excluded,
      Predicate<Member> preferred,
      long nowNanos) {
    Candidates candidates = candidates(view, service, nowNanos);
    Optional<Member> picked = pickAmong(candidates, new Allowed(excluded, preferred), nowNanos);
    if (picked.isEmpty()) {
      picked = pickAmong(candidates, new Allowed(excluded, any -> true), nowNanos);
    }
    return picked.isPresent() ? picked : lastResort(candidates.all(), excluded);
  }

  /** The members that a call may go to. */
  private record Allowed(Set<String> excluded, Predicate<Member> preferred)
      implements Predicate<Member> {
    @Override
    public boolean test(Member member) {
      return (excluded.isEmpty() || !excluded.contains(member.id())) && preferred.test(member);
    }
  }

  private Optional<Member> pickAmong(
      Candidates candidates, Predicate<Member> allowed, long nowNanos) {
    Optional<Member> near = draw(candidates.near(), allowed, nowNanos);
    Optional<Member> any = draw(candidates.all(), allowed, nowNanos);
    if (near.isEmpty()) {
      near = draw(candidates.all(), allowed, nowNanos);
    }
    if (near.isEmpty() || any.isEmpty()) {
      return near.isPresent() ? near : any;
    }
    return Optional.of(cheaper(near.orElseThrow(), any.orElseThrow(), nowNanos));
  }

  /** A first attempt goes to any target when all are out: routing must not refuse by itself. */
  private Optional<Member> lastResort(List<Member> members, Set<String> excluded) {
    return members.isEmpty() || !excluded.isEmpty()
        ? Optional.empty()
        : Optional.of(members.get(random.nextInt(members.size())));
  }

  /** Records that a call was sent to a member. */
  public void started(Member member, long nowNanos) {
    statsOf(member, nowNanos).started();
  }

  /** Records a complete answer. */
  public void succeeded(Member member, long latencyNanos, long nowNanos) {
    statsOf(member, nowNanos).succeeded(latencyNanos, nowNanos);
  }

  /** Records an answer that is not a success. */
  public void answered(Member member, long nowNanos) {
    statsOf(member, nowNanos).answered(nowNanos);
  }

  /**
   * Records a call that ended without an answer: it timed out or its caller gave up.
   *
   * @return whether the member is ejected now because of it
   */
  public boolean unanswered(Member member, long nowNanos) {
    TargetStats quiet = statsOf(member, nowNanos);
    quiet.unanswered(nowNanos);
    return quiet.consecutiveFailures() > 0 && eject(member, quiet, nowNanos);
  }

  /**
   * Records a failed call.
   *
   * @return whether the member is ejected now because of it
   */
  public boolean failed(Member member, long nowNanos) {
    TargetStats failing = statsOf(member, nowNanos);
    failing.failed();
    return eject(member, failing, nowNanos);
  }

  private boolean eject(Member member, TargetStats failing, long nowNanos) {
    Candidates service = services.get(member.service());
    if (service == null) {
      return false;
    }
    List<TargetStats> all = new ArrayList<>(service.all().size());
    service.all().forEach(other -> all.add(statsOf(other, nowNanos)));
    return Ejection.apply(failing, all, nowNanos);
  }

  /** What is known of each target, for the state dump. */
  public List<TargetState> dump(long nowNanos) {
    List<TargetState> states = new ArrayList<>(stats.size());
    stats.forEach(
        (id, one) ->
            states.add(
                new TargetState(
                    id,
                    one.inFlight(),
                    (long) (one.latencyNanos() / 1_000),
                    one.isEjected(nowNanos))));
    return states;
  }

  private Candidates candidates(MemberView view, String service, long nowNanos) {
    Candidates known = services.get(service);
    if (known != null && known.revision() == view.revision()) {
      return known;
    }
    List<Member> all = view.serving(service);
    all.forEach(member -> statsOf(member, nowNanos));
    List<Member> near =
        all.stream().filter(member -> member.failureDomain().equals(failureDomain)).toList();
    Candidates fresh = new Candidates(view.revision(), all, near);
    services.put(service, fresh);
    forgetGone(view);
    return fresh;
  }

  /** Drops statistics of members that left the view and have no call in flight. */
  private void forgetGone(MemberView view) {
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
    for (int i = 0; i < MAX_DRAWS; i++) {
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
    TargetStats one = statsOf(member, nowNanos);
    boolean probing = one.isOnProbation(nowNanos) && one.inFlight() > 0;
    return !one.isEjected(nowNanos) && !probing;
  }

  private Member cheaper(Member a, Member b, long nowNanos) {
    TargetStats statsA = statsOf(a, nowNanos);
    TargetStats statsB = statsOf(b, nowNanos);
    double costA = cost(a, statsA, latency(statsA, statsB), nowNanos);
    double costB = cost(b, statsB, latency(statsB, statsA), nowNanos);
    return costA <= costB ? a : b;
  }

  private double cost(Member member, TargetStats one, double latencyNanos, long nowNanos) {
    double cost = (one.inFlight() + 1) * latencyNanos;
    for (RoutingWeight weight : weights) {
      cost *= weight.costFactor(member, one, nowNanos);
    }
    return cost;
  }

  /** The target's latency; for one that has not answered yet, that of the other target. */
  private static double latency(TargetStats one, TargetStats other) {
    if (one.latencyNanos() > 0) {
      return one.latencyNanos();
    }
    return other.latencyNanos() > 0 ? other.latencyNanos() : DEFAULT_LATENCY_NANOS;
  }

  private TargetStats statsOf(Member member, long nowNanos) {
    TargetStats known = stats.get(member.id());
    if (known == null) {
      known = new TargetStats(nowNanos);
      stats.put(member.id(), known);
    }
    return known;
  }
}
