package dev.arbutusroad.core.store;

/**
 * Limits of the platform client.
 *
 * @param operationTimeoutMillis the deadline of each operation, waiting and retries included
 * @param readAttemptTimeoutMillis the time limit of one attempt of an operation that is retried
 * @param attemptLimit attempts of an operation that may be repeated blindly
 * @param maxInFlight operations sent and not answered yet
 * @param maxWaiting operations that wait for one in flight to end
 */
public record PlatformClientSettings(
    long operationTimeoutMillis,
    long readAttemptTimeoutMillis,
    int attemptLimit,
    int maxInFlight,
    int maxWaiting) {
  /** The limits that a node uses. */
  public static final PlatformClientSettings DEFAULT =
      new PlatformClientSettings(1_500, 500, 3, 32, 512);

  /**
   * The limits of an operator's command. On a busy host the first operation of a new process took
   * longer than 1.5 s, and nothing else waits for a command.
   */
  public static final PlatformClientSettings COMMAND =
      new PlatformClientSettings(15_000, 5_000, 3, 4, 16);

  /** These limits with another deadline of each operation. */
  public PlatformClientSettings withOperationTimeoutMillis(long millis) {
    return new PlatformClientSettings(
        millis, Math.min(millis, readAttemptTimeoutMillis), attemptLimit, maxInFlight, maxWaiting);
  }

  public PlatformClientSettings {
    if (operationTimeoutMillis < 1 || readAttemptTimeoutMillis < 1) {
      throw new IllegalArgumentException("timeouts must be at least 1 ms");
    }
    if (attemptLimit < 1 || maxInFlight < 1 || maxWaiting < 0) {
      throw new IllegalArgumentException("limits must be positive");
    }
  }
}
