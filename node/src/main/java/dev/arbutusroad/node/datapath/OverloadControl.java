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

/**
 * The overload control of a node, shared by gate and exit: admission, learned levels, retry budgets
 * and requests that crash targets. Owned by the data path.
 */
final class OverloadControl {
  /**
   * Changes taken at a time, so that a target death with many suspects spreads over several ticks.
   */
  private static final int MAX_FATAL_CHANGES = 64;

  /** Maximum age of the published state, which is not copied in each tick because of the cost. */
  private static final long PUBLISH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Ticker ticker;
  private final AnnouncedLimit limit = new AnnouncedLimit(new ProbingLimit());
  private final AdmissionController controller;
  private final FatalRequests fatalRequests = new FatalRequests();
  private final GateAdmission admission;
  private final LevelTable levels = new LevelTable();
  private final Supplier<MemberView> members;
  private final RetryBudgets retryBudgets;
  private final RetryRules retryRules;
  private final SortedMap<String, Long> retryDecisions = new TreeMap<>();
  private long shedAtExit;
  private long publishedNanos;
  private volatile OverloadState published;

  /**
   * Creates a control with no calls in progress.
   *
   * @param queueLimit maximum number of calls that wait for admission
   */
  OverloadControl(
      Ticker ticker, RandomGenerator random, Supplier<MemberView> members, int queueLimit) {
    this.members = members;
    retryBudgets = new RetryBudgets(() -> members.get().all().size());
    this.ticker = ticker;
    controller = new AdmissionController(limit, queueLimit, ticker.nanos());
    admission = new GateAdmission(controller, fatalRequests, ticker);
    retryRules = new RetryRules(new Backoff(random));
    published = state();
  }

  GateAdmission admission() {
    return admission;
  }

  /**
   * Returns the failure with which a call is refused before it is sent; empty if it may be sent.
   */
  Optional<Failure> checkRefusal(OutgoingCall call) {
    long nowNanos = ticker.nanos();
    if (!fatalRequests.isEmpty()
        && fatalRequests.check(call.fingerprint(), nowNanos) == FatalRequests.Verdict.REFUSE) {
      return Optional.of(Failure.of(ResultCode.FATAL_REQUEST));
    }
    String service = call.received().service();
    AdmissionLevel level = serviceLevel(service, call.callClass(), nowNanos);
    if (level.rank() == 0) {
      return Optional.empty();
    }
    CallContext context = call.context(0, 0);
    if (level.admits(context.rank())) {
      return Optional.empty();
    }
    shedAtExit++;
    call.parent().recordLevel(level);
    return Optional.of(
        new Failure(ResultCode.SHED, "below admission level " + level.format() + " of " + service));
  }

  /** Takes the concurrency that the local target reported; 0 if it is unknown. */
  void announceSlots(int slots) {
    limit.announce(slots);
  }

  /** Returns whether a request is known to crash its targets or suspected of it. */
  boolean isSuspect(OutgoingCall call) {
    return !fatalRequests.isEmpty()
        && fatalRequests.isSuspectOrMarked(call.fingerprint(), ticker.nanos());
  }

  /** Returns a filter for the targets whose learned level admits a call. */
  Predicate<Member> preference(CallContext context) {
    return levels.isEmpty() ? member -> true : new AdmittingTarget(levels, context, ticker.nanos());
  }

  private record AdmittingTarget(LevelTable levels, CallContext context, long nowNanos)
      implements Predicate<Member> {
    @Override
    public boolean test(Member member) {
      return levels.level(member.id(), context.callClass(), nowNanos).admits(context.rank());
    }
  }

  /** Records the admission level that a response carried. */
  void recordLevel(OutgoingCall call, Member member, AdmissionLevel observed) {
    long nowNanos = ticker.nanos();
    CallClass callClass = call.callClass();
    levels.recordLevel(member.id(), callClass, observed, nowNanos);
    call.parent().recordLevel(serviceLevel(call.received().service(), callClass, nowNanos));
  }

  /** Returns the level below which all targets of a service refuse calls. */
  private AdmissionLevel serviceLevel(String service, CallClass callClass, long nowNanos) {
    if (levels.isEmpty()) {
      return AdmissionLevel.OPEN;
    }
    List<String> targets = members.get().serving(service).stream().map(Member::id).toList();
    return levels.lowest(targets, callClass, nowNanos);
  }

  /** Decides whether a failed attempt is retried, and charges the retry if so. */
  RetryDecision decideRetry(
      FailedAttempt attempt, int importance, RetryAllowance allowance, String service) {
    RetryDecision decision =
        retryRules.decide(attempt, importance, allowance, retryBudgets.budget(service));
    retryDecisions.merge(decision.rule(), 1L, Long::sum);
    return decision;
  }

  /** Counts a first attempt as a retry if it is caused by a retry upstream. */
  void attemptSent(OutgoingCall call) {
    if (call.attempts() == 1 && call.isRepeated()) {
      retryBudgets.budget(call.received().service()).recordRepeatedCall();
    }
  }

  /**
   * Credits the retry budget of a service whose target answered the first attempt of a call that
   * reached a target.
   */
  void firstAttemptAnswered(String service) {
    retryBudgets.budget(service).recordAnswer();
  }

  /** Records that the local target died with all its calls in flight. */
  void targetDied() {
    fatalRequests.targetDied(ticker.nanos());
  }

  /** Merges the entries of other nodes about requests that crash targets. */
  void mergeFatal(List<FatalEntry> entries) {
    fatalRequests.merge(entries, ticker.nanos());
    admission.wakeParked();
  }

  /** Removes and returns the next changes to propagate to other nodes. */
  List<FatalEntry> takeFatalChanges() {
    return fatalRequests.takeChanges(MAX_FATAL_CHANGES, ticker.nanos());
  }

  /** Runs the periodic work; called every few milliseconds. */
  void tick() {
    admission.tick();
    if (ticker.nanos() - publishedNanos >= PUBLISH_INTERVAL_NANOS) {
      publishedNanos = ticker.nanos();
      published = state();
    }
  }

  /** Returns a recent copy of the state; safe to call from any thread. */
  OverloadState published() {
    return published;
  }

  /** Returns the current state. */
  OverloadState state() {
    long nowNanos = ticker.nanos();
    SortedMap<String, String> learnedLevels = new TreeMap<>();
    levels.snapshot().forEach((key, level) -> learnedLevels.put(key, level.format()));
    return new OverloadState(
        controller.snapshot(nowNanos),
        controller.currentLevel().format(),
        learnedLevels,
        shedAtExit,
        retryBudgets.snapshot(),
        new TreeMap<>(retryDecisions),
        admission.parked(),
        fatalRequests.deaths(),
        fatalRequests.entries(nowNanos));
  }
}
