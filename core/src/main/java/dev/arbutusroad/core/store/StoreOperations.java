package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.PlatformMetrics.Operation;
import dev.arbutusroad.core.time.Ticker;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Runs operations of the platform's store with a timeout, an in-flight limit, retries and a circuit
 * breaker. A client adapter supplies the attempts; this class decides when to start and retry them.
 */
public final class StoreOperations {
  private static final long RETRY_BACKOFF_MILLIS = 20;

  private final PlatformClientSettings settings;
  private final PlatformMetrics metrics;
  private final Ticker ticker;
  private final CircuitBreaker breaker;
  private final OperationLimiter limiter;
  private final SplittableRandom random = new SplittableRandom();

  public StoreOperations(PlatformClientSettings settings, PlatformMetrics metrics, Ticker ticker) {
    this.settings = settings;
    this.metrics = metrics;
    this.ticker = ticker;
    this.breaker = new CircuitBreaker(ticker, new SplittableRandom());
    this.limiter = new OperationLimiter(settings.maxInFlight(), settings.maxWaiting());
  }

  /**
   * Starts an operation. The future never completes exceptionally.
   *
   * @param attempt sends the operation once. Its result is {@code PLATFORM_TIMEOUT} if the
   *     operation may have taken effect and {@code PLATFORM_REFUSED} if it has not. A future that
   *     completes exceptionally counts as {@code PLATFORM_TIMEOUT}
   */
  public <T> CompletableFuture<Either<Failure, T>> start(
      Operation operation, Supplier<CompletableFuture<Either<Failure, T>>> attempt) {
    PendingOperation<T> pending = new PendingOperation<>(operation, attempt);
    pending.submit();
    return pending.result;
  }

  private synchronized long jitteredBackoffMillis(int attempt) {
    return 1 + random.nextLong(RETRY_BACKOFF_MILLIS << attempt);
  }

  /** Returns an executor that runs short tasks on the JDK's timer thread after a delay. */
  private static Executor delayedExecutor(long millis) {
    return CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS, Runnable::run);
  }

  private final class PendingOperation<T> {
    private final Operation operation;
    private final Supplier<CompletableFuture<Either<Failure, T>>> attempt;
    private final long startNanos = ticker.nanos();
    private final CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
    private final Runnable startAttempt = this::attempt;
    private int attempts;

    PendingOperation(Operation operation, Supplier<CompletableFuture<Either<Failure, T>>> attempt) {
      this.operation = operation;
      this.attempt = attempt;
    }

    void submit() {
      if (breaker.isRejecting()) {
        complete(Either.left(Failure.of(ResultCode.PLATFORM_CIRCUIT_OPEN)));
        return;
      }
      if (!limiter.submit(startAttempt)) {
        complete(Either.left(Failure.of(ResultCode.PLATFORM_QUEUE_FULL)));
        return;
      }
      delayedExecutor(settings.operationTimeoutMillis()).execute(this::expireWaiting);
    }

    /** Fails the operation at its deadline if it is still queued. */
    private void expireWaiting() {
      if (limiter.withdraw(startAttempt)) {
        complete(
            Either.left(
                new Failure(
                    ResultCode.PLATFORM_QUEUE_FULL, "the operation was not sent by its deadline")));
      }
    }

    private void attempt() {
      if (!breaker.tryAcquire()) {
        releaseAndComplete(Either.left(Failure.of(ResultCode.PLATFORM_CIRCUIT_OPEN)));
        return;
      }
      attempts++;
      CompletableFuture<Either<Failure, T>> sent = attempt.get();
      var unused =
          sent.copy()
              .completeOnTimeout(
                  Either.left(new Failure(ResultCode.PLATFORM_TIMEOUT, "no answer in time")),
                  attemptTimeoutNanos(),
                  TimeUnit.NANOSECONDS)
              .whenComplete(
                  (outcome, error) -> {
                    if (!sent.isDone()) {
                      // Releases the connection that waits for the answer.
                      sent.cancel(true);
                    }
                    handleOutcome(outcome, error);
                  });
    }

    private long attemptTimeoutNanos() {
      long remaining = Math.max(1, remainingNanos());
      return isIdempotent()
          ? Math.min(remaining, TimeUnit.MILLISECONDS.toNanos(settings.readAttemptTimeoutMillis()))
          : remaining;
    }

    private void handleOutcome(Either<Failure, T> outcome, Throwable error) {
      if (error != null) {
        retryOrFail(new Failure(ResultCode.PLATFORM_TIMEOUT, error.toString()));
      } else if (outcome.isLeft()) {
        retryOrFail(outcome.getLeft());
      } else {
        breaker.recordSuccess();
        releaseAndComplete(outcome);
      }
    }

    private void retryOrFail(Failure failure) {
      if (breaker.recordFailure()) {
        metrics.circuitOpened();
      }
      long backoffMillis = jitteredBackoffMillis(attempts);
      if (isIdempotent()
          && attempts < settings.attemptLimit()
          && remainingNanos() > TimeUnit.MILLISECONDS.toNanos(backoffMillis)
          && !breaker.isRejecting()) {
        metrics.retried(operation);
        delayedExecutor(backoffMillis).execute(this::attempt);
        return;
      }
      releaseAndComplete(Either.left(failure));
    }

    private boolean isIdempotent() {
      return operation != Operation.COMMIT;
    }

    private long remainingNanos() {
      return TimeUnit.MILLISECONDS.toNanos(settings.operationTimeoutMillis())
          - (ticker.nanos() - startNanos);
    }

    private void releaseAndComplete(Either<Failure, T> outcome) {
      limiter.release();
      complete(outcome);
    }

    private void complete(Either<Failure, T> outcome) {
      metrics.completed(
          operation,
          outcome.isLeft() ? Optional.of(outcome.getLeft().code()) : Optional.empty(),
          ticker.nanos() - startNanos);
      result.complete(outcome);
    }
  }
}
