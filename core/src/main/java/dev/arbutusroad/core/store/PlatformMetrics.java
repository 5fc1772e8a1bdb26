package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.ResultCode;
import java.util.Optional;

/** Receives measurements of platform operations; called from several threads. */
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

  /** The kinds of operation that are measured apart. */
  enum Operation {
    GET,
    SCAN,
    COMMIT,
    OBJECT_GET,
    OBJECT_PUT
  }

  /**
   * An operation ended.
   *
   * @param operation its kind
   * @param failure the code of its failure; empty when the platform decided it
   * @param nanos the time since the caller asked for it, waiting included
   */
  void completed(Operation operation, Optional<ResultCode> failure, long nanos);

  /** An attempt failed and the operation is tried again. */
  void retried(Operation operation);

  /** The circuit breaker suspended platform calls. */
  void circuitOpened();
}
