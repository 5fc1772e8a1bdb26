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
 * Runs operations of the platform's store within their deadline, the limits and the circuit
 * breaker. An adapter supplies the attempts; this class decides when they are made and repeated.
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
   * @param attempt sends it once. Its future carries {@code PLATFORM_TIMEOUT} when the operation
   *     may have taken effect and {@code PLATFORM_REFUSED} when it has not; it may fail instead,
   *     which counts as the former
   */
  public <T> CompletableFuture<Either<Failure, T>> start(
      Operation operation, Supplier<CompletableFuture<Either<Failure, T>>> attempt) {
    Call<T> call = new Call<>(operation, attempt);
    call.enter();
    return call.result;
  }

  private synchronized long jitteredBackoffMillis(int attempt) {
    return 1 + random.nextLong(RETRY_BACKOFF_MILLIS << attempt);
  }

  /** Runs tasks on the timer thread of the library, as they only start another attempt. */
  private static Executor after(long millis) {
    return CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS, Runnable::run);
  }

  private final class Call<T> {
    private final Operation operation;
    private final Supplier<CompletableFuture<Either<Failure, T>>> attempt;
    private final long startNanos = ticker.nanos();
    private final CompletableFuture<Either<Failure, T>> result = new CompletableFuture<>();
    private final Runnable begin = this::attempt;
    private int attempts;

    Call(Operation operation, Supplier<CompletableFuture<Either<Failure, T>>> attempt) {
      this.operation = operation;
      this.attempt = attempt;
    }

    void enter() {
      if (breaker.refuses()) {
        report(Either.left(Failure.of(ResultCode.PLATFORM_CIRCUIT_OPEN)));
        return;
      }
      if (!limiter.submit(begin)) {
        report(Either.left(Failure.of(ResultCode.PLATFORM_QUEUE_FULL)));
        return;
      }
      after(settings.operationTimeoutMillis()).execute(this::expireWaiting);
    }

    /** Ends the call at its deadline if it has not been sent yet. */
    private void expireWaiting() {
      if (limiter.withdraw(begin)) {
        report(
            Either.left(
                new Failure(
                    ResultCode.PLATFORM_QUEUE_FULL, "the operation was not sent by its deadline")));
      }
    }

    private void attempt() {
      if (!breaker.tryAcquire()) {
        end(Either.left(Failure.of(ResultCode.PLATFORM_CIRCUIT_OPEN)));
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
                      // Frees the connection that waits for the answer.
                      sent.cancel(true);
                    }
                    answered(outcome, error);
                  });
    }

    private long attemptTimeoutNanos() {
      long remaining = Math.max(1, remainingNanos());
      return isRepeatable()
          ? Math.min(remaining, TimeUnit.MILLISECONDS.toNanos(settings.readAttemptTimeoutMillis()))
          : remaining;
    }

    private void answered(Either<Failure, T> outcome, Throwable error) {
      if (error != null) {
        failed(new Failure(ResultCode.PLATFORM_TIMEOUT, error.toString()));
      } else if (outcome.isLeft()) {
        failed(outcome.getLeft());
      } else {
        breaker.succeeded();
        end(outcome);
      }
    }

    private void failed(Failure failure) {
      if (breaker.failed()) {
        metrics.circuitOpened();
      }
      long backoffMillis = jitteredBackoffMillis(attempts);
      if (isRepeatable()
          && attempts < settings.attemptLimit()
          && remainingNanos() > TimeUnit.MILLISECONDS.toNanos(backoffMillis)
          && !breaker.refuses()) {
        metrics.retried(operation);
        after(backoffMillis).execute(this::attempt);
        return;
      }
      end(Either.left(failure));
    }

    private boolean isRepeatable() {
      return operation != Operation.COMMIT;
    }

    private long remainingNanos() {
      return TimeUnit.MILLISECONDS.toNanos(settings.operationTimeoutMillis())
          - (ticker.nanos() - startNanos);
    }

    private void end(Either<Failure, T> outcome) {
      limiter.release();
      report(outcome);
    }

    private void report(Either<Failure, T> outcome) {
      metrics.completed(
          operation,
          outcome.isLeft() ? Optional.of(outcome.getLeft().code()) : Optional.empty(),
          ticker.nanos() - startNanos);
      result.complete(outcome);
    }
  }
}
