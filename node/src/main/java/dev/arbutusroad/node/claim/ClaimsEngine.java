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
 * Makes, holds and settles the claims of one node. Every method is called by the thread that owns
 * the engine; no method blocks.
 */
final class ClaimsEngine {
  /** Bounds the memory for orders that wait for the store or for the result of another node. */
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
  private final Map<String, Set<ClaimAttempt>> attemptsByRow = new HashMap<>();
  private int attemptCount;
  private int heldClaims;

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
    this.settler = new Settler(commits, reader, timers, random, counters, this::notifyAttempts);
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
    attemptsByRow.computeIfAbsent(rowKey, unused -> new LinkedHashSet<>()).add(attempt);
    attemptCount++;
    attempt.start();
  }

  /** Runs the timers that are due. */
  void runDue() {
    timers.runDue();
  }

  /** Returns the nanoseconds until the next timer is due, at most {@code limitNanos}. */
  long untilNextNanos(long limitNanos) {
    return timers.untilNextNanos(limitNanos);
  }

  /** Returns whether every claim has been decided, reported and written to the store. */
  boolean isIdle() {
    return attemptCount == 0 && heldClaims == 0 && settler.unfinished() == 0;
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
    Set<ClaimAttempt> rowAttempts = attemptsByRow.get(attempt.rowKey());
    if (rowAttempts != null && rowAttempts.remove(attempt)) {
      attemptCount--;
      if (rowAttempts.isEmpty()) {
        attemptsByRow.remove(attempt.rowKey());
      }
    }
  }

  /** Writes that the order of a claim did not run here, so that it may be claimed again. */
  void release(String rowKey, ClaimRow claim, long expectedVersion) {
    settler.settle(rowKey, claim.settled(ClaimState.RELEASED, Optional.empty()), expectedVersion);
  }

  /** Returns a handle for a claim that is held in the given version of its row. */
  ClaimHandle handle(String rowKey, ClaimRow claim, long version) {
    heldClaims++;
    return new Handle(rowKey, claim, version);
  }

  private void notifyAttempts(String rowKey) {
    List.copyOf(attemptsByRow.getOrDefault(rowKey, Set.of())).forEach(ClaimAttempt::readIfWaiting);
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
              heldClaims--;
              settler.settle(rowKey, claim.settled(state, answer), version);
            });
      }
    }
  }
}
