package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.claim.ClaimRow;
import dev.arbutusroad.core.claim.ClaimState;
import dev.arbutusroad.core.claim.OrderKey;
import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.TableService;
import dev.arbutusroad.core.time.Ticker;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

/**
 * The claims of one node. Every method is called by the thread that owns it, and it never blocks.
 */
final class ClaimsEngine {
  /** Bounds the memory for orders that wait for the store or for another node's result. */
  static final int MAX_ATTEMPTS = 4096;

  private final ClaimsIdentity identity;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Executor owner;
  private final ClaimsCounters counters;
  private final EngineTimers timers;
  private final ClaimRowReader reader;
  private final GroupCommit commits;
  private final Settler settler;
  private final Map<String, Set<ClaimAttempt>> attempts = new HashMap<>();
  private int attemptCount;
  private int held;

  ClaimsEngine(
      ClaimsIdentity identity,
      TableService table,
      Ticker ticker,
      InstantSource clock,
      RandomGenerator random,
      Executor owner,
      ClaimsCounters counters) {
    this.identity = identity;
    this.clock = clock;
    this.random = random;
    this.owner = owner;
    this.counters = counters;
    this.timers = new EngineTimers(ticker);
    this.reader = new ClaimRowReader(table, owner);
    this.commits = new GroupCommit(table, timers, owner, counters);
    this.settler = new Settler(commits, reader, timers, random, counters, this::wake);
    new ClaimPurger(table, timers, clock, random, owner, counters).start();
  }

  /** Starts an attempt to claim an order. */
  void claim(String service, String key, long deadlineNanos, ClaimReply reply) {
    Either<Failure, OrderKey> parsed = OrderKey.parse(key);
    if (parsed.isLeft()) {
      reply.refuse(parsed.getLeft());
      return;
    }
    Optional<Failure> rejection = parsed.get().rejection(clock.instant());
    if (rejection.isPresent()) {
      reply.refuse(rejection.get());
      return;
    }
    if (attemptCount >= MAX_ATTEMPTS) {
      reply.refuse(new Failure(ResultCode.PLATFORM_UNAVAILABLE, "too many claims are waiting"));
      return;
    }
    String rowKey = parsed.get().rowKey(service);
    ClaimRow claim = ClaimRow.started(newToken(), identity.node(), identity.incarnation());
    ClaimAttempt attempt = new ClaimAttempt(this, rowKey, claim, deadlineNanos, reply);
    attempts.computeIfAbsent(rowKey, unused -> new LinkedHashSet<>()).add(attempt);
    attemptCount++;
    attempt.start();
  }

  /** Runs the timers that are due. */
  void runDue() {
    timers.runDue();
  }

  /** Nanoseconds until a timer is due, at most {@code limitNanos}. */
  long untilNextNanos(long limitNanos) {
    return timers.untilNextNanos(limitNanos);
  }

  /** Whether every claim has been decided, reported and written to the store. */
  boolean isIdle() {
    return attemptCount == 0 && held == 0 && settler.unfinished() == 0;
  }

  EngineTimers timers() {
    return timers;
  }

  GroupCommit commits() {
    return commits;
  }

  ClaimRowReader reader() {
    return reader;
  }

  RandomGenerator random() {
    return random;
  }

  ClaimsCounters counters() {
    return counters;
  }

  void remove(ClaimAttempt attempt) {
    Set<ClaimAttempt> sameRow = attempts.get(attempt.rowKey());
    if (sameRow != null && sameRow.remove(attempt)) {
      attemptCount--;
      if (sameRow.isEmpty()) {
        attempts.remove(attempt.rowKey());
      }
    }
  }

  /** States that a claim's order did not run here, so that it may be claimed again. */
  void release(String rowKey, ClaimRow claim, long expectedVersion) {
    settler.settle(rowKey, claim.settled(ClaimState.RELEASED, Optional.empty()), expectedVersion);
  }

  /** A handle for a claim that is held in a version of its row. */
  ClaimHandle handle(String rowKey, ClaimRow claim, long version) {
    held++;
    return new Handle(rowKey, claim, version);
  }

  private void wake(String rowKey) {
    List.copyOf(attempts.getOrDefault(rowKey, Set.of())).forEach(ClaimAttempt::wake);
  }

  private String newToken() {
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong());
  }

  private final class Handle implements ClaimHandle {
    private final String rowKey;
    private final ClaimRow claim;
    private final long version;
    private final AtomicBoolean reported = new AtomicBoolean();

    Handle(String rowKey, ClaimRow claim, long version) {
      this.rowKey = rowKey;
      this.claim = claim;
      this.version = version;
    }

    @Override
    public void done(RecordedAnswer answer) {
      report(ClaimState.DONE, Optional.of(answer));
    }

    @Override
    public void doneWithoutAnswer() {
      report(ClaimState.DONE, Optional.empty());
    }

    @Override
    public void releaseNotRun() {
      report(ClaimState.RELEASED, Optional.empty());
    }

    @Override
    public void outcomeUnknown() {
      report(ClaimState.UNKNOWN, Optional.empty());
    }

    private void report(ClaimState state, Optional<RecordedAnswer> answer) {
      if (reported.compareAndSet(false, true)) {
        owner.execute(
            () -> {
              held--;
              settler.settle(rowKey, claim.settled(state, answer), version);
            });
      }
    }
  }
}
