package dev.arbutusroad.bench.overload;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.fatal.Fingerprint;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.retry.Backoff;
import dev.arbutusroad.core.retry.FailedAttempt;
import dev.arbutusroad.core.retry.RetryAllowance;
import dev.arbutusroad.core.retry.RetryBudgets;
import dev.arbutusroad.core.retry.RetryDecision;
import dev.arbutusroad.core.retry.RetryRules;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures retry accounting and the computation of a request fingerprint for one call. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RetryBench {
  private static final int ALLOWANCE = 4;
  private static final int BODY_BYTES = 1_024;

  private final RetryBudgets budgets = new RetryBudgets(() -> 1);
  private final RetryRules rules = new RetryRules(new Backoff(new SplittableRandom(1)));
  private final byte[] body = new byte[BODY_BYTES];
  private final FailedAttempt attempt =
      new FailedAttempt(
          ResultCode.TARGET_REFUSED,
          false,
          true,
          false,
          false,
          true,
          true,
          1,
          0,
          TimeUnit.SECONDS.toNanos(1));

  /** Accounts for a call that succeeds: takes a grant, returns it and records the answer. */
  @Benchmark
  public int success() {
    RetryAllowance allowance = new RetryAllowance(ALLOWANCE);
    int grant = allowance.takeGrant();
    allowance.returnUnused(grant, grant);
    budgets.budget("orders").recordAnswer();
    return allowance.close();
  }

  /** Accounts for a call that fails once, and decides on its retry. */
  @Benchmark
  public RetryDecision failure() {
    RetryAllowance allowance = new RetryAllowance(ALLOWANCE);
    allowance.forfeit(allowance.takeGrant());
    return rules.decide(attempt, CallPolicy.MAX_IMPORTANCE, allowance, budgets.budget("orders"));
  }

  /** Computes the fingerprint of a request with a body of 1 KiB. */
  @Benchmark
  public Fingerprint fingerprint() {
    return Fingerprint.of("orders", "POST", "/orders?draft=1", body, Optional.empty());
  }
}
