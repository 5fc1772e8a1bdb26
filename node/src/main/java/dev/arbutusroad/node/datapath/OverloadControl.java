package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionController;
import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.admission.AnnouncedLimit;
import dev.arbutusroad.core.admission.CallClass;
import dev.arbutusroad.core.admission.LevelTable;
import dev.arbutusroad.core.admission.ProbingLimit;
import dev.arbutusroad.core.fatal.FatalEntry;
import dev.arbutusroad.core.fatal.FatalRequests;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.retry.Backoff;
import dev.arbutusroad.core.retry.FailedAttempt;
import dev.arbutusroad.core.retry.RetryAllowance;
import dev.arbutusroad.core.retry.RetryBudgets;
import dev.arbutusroad.core.retry.RetryDecision;
import dev.arbutusroad.core.retry.RetryRules;
import dev.arbutusroad.core.time.Ticker;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** The state of the decisions under overload, shared by gate and exit. Owned by the data path. */
final class OverloadControl {
  /** Changes handed over at a time, so that a death with many suspects spreads over some ticks. */
  private static final int MAX_FATAL_CHANGES = 64;

  /** The state for metrics is at most this old; it is copied, which takes time in each tick. */
  private static final long PUBLISH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Ticker ticker;
  private final AnnouncedLimit limit = new AnnouncedLimit(new ProbingLimit());
  private final AdmissionController controller;
  private final FatalRequests fatal = new FatalRequests();
  private final GateAdmission admission;
  private final LevelTable levels = new LevelTable();
  private final Supplier<MemberView> members;
  private final RetryBudgets budgets;
  private final RetryRules rules;
  private final SortedMap<String, Long> decisions = new TreeMap<>();
  private long shedAtExit;
  private long publishedNanos;
  private volatile OverloadState published;

  /**
   * Creates the state without any call.
   *
   * @param queueLimit how many calls may wait for admission
   */
  OverloadControl(
      Ticker ticker, RandomGenerator random, Supplier<MemberView> members, int queueLimit) {
    this.members = members;
    budgets = new RetryBudgets(() -> members.get().all().size());
    this.ticker = ticker;
    controller = new AdmissionController(limit, queueLimit, ticker.nanos());
    admission = new GateAdmission(controller, fatal, ticker);
    rules = new RetryRules(new Backoff(random));
    published = state();
  }

  GateAdmission admission() {
    return admission;
  }

  /** Why a call must not be sent at all; empty if it may be. */
  Optional<Failure> refusal(OutgoingCall call) {
    long now = ticker.nanos();
    if (!fatal.isClear() && fatal.check(call.fingerprint(), now) == FatalRequests.Verdict.REFUSE) {
      return Optional.of(Failure.of(ResultCode.FATAL_REQUEST));
    }
    String service = call.received().service();
    AdmissionLevel level = level(service, call.callClass(), now);
    if (level.rank() == 0) {
      return Optional.empty();
    }
    CallContext template = call.context(0, 0);
    if (level.admits(template.rank())) {
      return Optional.empty();
    }
    shedAtExit++;
    call.parent().noteLevel(level);
    return Optional.of(
        new Failure(ResultCode.SHED, "refused by level " + level.format() + " of " + service));
  }

  /** The local target has said how many calls it runs at once; 0 if it does not know. */
  void announceSlots(int slots) {
    limit.announce(slots);
  }

  /** Whether a request is known or suspected of crashing its targets. */
  boolean isSuspect(OutgoingCall call) {
    return !fatal.isClear() && fatal.isImplicated(call.fingerprint(), ticker.nanos());
  }

  /** Which targets are likely to take a call, as far as their answers tell. */
  Predicate<Member> preference(CallContext context) {
    return levels.isEmpty() ? any -> true : new AdmittingTarget(levels, context, ticker.nanos());
  }

  private record AdmittingTarget(LevelTable levels, CallContext context, long nowNanos)
      implements Predicate<Member> {
    @Override
    public boolean test(Member member) {
      return levels.level(member.id(), context.callClass(), nowNanos).admits(context.rank());
    }
  }

  /** Takes in the level that a response carried. */
  void learn(OutgoingCall call, Member member, AdmissionLevel seen) {
    long now = ticker.nanos();
    CallClass calls = call.callClass();
    levels.recordLevel(member.id(), calls, seen, now);
    call.parent().noteLevel(level(call.received().service(), calls, now));
  }

  /** The level below which all targets of a service refuse calls. */
  private AdmissionLevel level(String service, CallClass calls, long nowNanos) {
    if (levels.isEmpty()) {
      return AdmissionLevel.OPEN;
    }
    List<String> targets = members.get().serving(service).stream().map(Member::id).toList();
    return levels.lowest(targets, calls, nowNanos);
  }

  /** Decides on another attempt and takes its cost. */
  RetryDecision decide(
      FailedAttempt attempt, int importance, RetryAllowance allowance, String service) {
    RetryDecision decision = rules.decide(attempt, importance, allowance, budgets.budget(service));
    decisions.merge(decision.rule(), 1L, Long::sum);
    return decision;
  }

  /** An attempt is sent: one that is caused by a retry further up counts as a retry. */
  void sent(OutgoingCall call) {
    if (call.attempts() == 1 && call.isRepeated()) {
      budgets.budget(call.received().service()).repeated();
    }
  }

  /** The target of a call has answered the first attempt that reached it. */
  void answered(String service) {
    budgets.budget(service).answered();
  }

  /** The local target has died with everything in flight. */
  void targetDied() {
    fatal.targetDied(ticker.nanos());
  }

  /** Takes in what other nodes know of requests that crash targets. */
  void mergeFatal(List<FatalEntry> entries) {
    fatal.merge(entries, ticker.nanos());
    admission.wakeParked();
  }

  /** Takes changes that other nodes have to know. */
  List<FatalEntry> takeFatalChanges() {
    return fatal.takeChanges(MAX_FATAL_CHANGES, ticker.nanos());
  }

  void tick() {
    admission.tick();
    if (ticker.nanos() - publishedNanos >= PUBLISH_NANOS) {
      publishedNanos = ticker.nanos();
      published = state();
    }
  }

  /** A recent state; may be read by any thread. */
  OverloadState published() {
    return published;
  }

  OverloadState state() {
    long now = ticker.nanos();
    SortedMap<String, String> learned = new TreeMap<>();
    levels.snapshot().forEach((kind, level) -> learned.put(kind, level.format()));
    return new OverloadState(
        controller.snapshot(now),
        controller.currentLevel().format(),
        learned,
        shedAtExit,
        budgets.snapshot(),
        new TreeMap<>(decisions),
        admission.parked(),
        fatal.deaths(),
        fatal.entries(now));
  }
}
