package dev.arbutusroad.core.store;

/**
 * Timeouts and limits of the platform client.
 *
 * @param operationTimeoutMillis the timeout of each operation, including queueing and retries
 * @param readAttemptTimeoutMillis the timeout of one attempt of an idempotent operation
 * @param attemptLimit the maximum number of attempts of an idempotent operation
 * @param maxInFlight the maximum number of operations in flight
 * @param maxWaiting the maximum number of queued operations
 */
public record PlatformClientSettings(
    long operationTimeoutMillis,
    long readAttemptTimeoutMillis,
    int attemptLimit,
    int maxInFlight,
    int maxWaiting) {
  /** The settings of a node. */
  public static final PlatformClientSettings DEFAULT =
      new PlatformClientSettings(1_500, 500, 3, 32, 512);

  /**
   * The settings of a command-line tool. On a busy host, the first operation of a new process took
   * longer than 1.5 s, and no other work depends on the duration of a command.
   */
  public static final PlatformClientSettings COMMAND =
      new PlatformClientSettings(15_000, 5_000, 3, 4, 16);

  /** Returns a copy with another operation timeout; shortens the attempt timeout if necessary. */
  public PlatformClientSettings withOperationTimeoutMillis(long millis) {
    return new PlatformClientSettings(
        millis, Math.min(millis, readAttemptTimeoutMillis), attemptLimit, maxInFlight, maxWaiting);
  }

  public PlatformClientSettings {
    if (operationTimeoutMillis < 1 || readAttemptTimeoutMillis < 1) {
      throw new IllegalArgumentException("timeouts must be at least 1 ms");
    }
    if (attemptLimit < 1 || maxInFlight < 1 || maxWaiting < 0) {
      throw new IllegalArgumentException(
          "attemptLimit and maxInFlight must be at least 1, maxWaiting at least 0");
    }
  }
}
