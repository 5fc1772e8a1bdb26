package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.ResultCode;
import java.util.Optional;

/** Receives measurements of platform operations. Implementations must be thread-safe. */
public interface PlatformMetrics {
  /** Discards every measurement. */
  PlatformMetrics NONE =
      new PlatformMetrics() {
        @Override
        public void completed(Operation operation, Optional<ResultCode> failure, long nanos) {}

        @Override
        public void retried(Operation operation) {}

        @Override
        public void circuitOpened() {}
      };

  /** The kinds of operation, each measured separately. */
  enum Operation {
    GET,
    SCAN,
    COMMIT,
    OBJECT_GET,
    OBJECT_PUT
  }

  /**
   * Records the end of an operation.
   *
   * @param operation the kind of operation
   * @param failure the result code of its failure; empty if the platform answered it, even with a
   *     conflict
   * @param nanos the duration of the operation in nanoseconds, including queueing and retries
   */
  void completed(Operation operation, Optional<ResultCode> failure, long nanos);

  /** Records that an attempt failed and the operation is retried. */
  void retried(Operation operation);

  /** Records that the circuit breaker opened. */
  void circuitOpened();
}
