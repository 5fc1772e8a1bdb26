package dev.arbutusroad.tools.load;

/**
 * The result of one call of a trace.
 *
 * @param answer outcome of the last attempt
 * @param latencyNanos time from the scheduled time to the end of the last attempt
 * @param attempts number of attempts sent
 */
record CallResult(Answer answer, long latencyNanos, int attempts) {
  /** Outcome of an attempt. */
  enum Answer {
    /** The complete, correct body. */
    CORRECT,
    /** A complete body of another length or digest. */
    WRONG,
    /** A truncated body. */
    TRUNCATED,
    /** An error status with the statement that the request did not run. */
    NOT_RUN,
    /** Another error status, or a broken connection. */
    FAILED,
    /** No complete answer in time. */
    TIMED_OUT
  }
}
