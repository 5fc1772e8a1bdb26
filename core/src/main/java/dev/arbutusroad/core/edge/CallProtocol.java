package dev.arbutusroad.core.edge;

import dev.arbutusroad.core.result.Failure;
import java.time.Duration;
import java.util.Optional;

/** How callers and targets of a deployment state the terms of a call in header fields. */
public interface CallProtocol {
  /** Reads what a caller says of its call. */
  CallerTerms terms(HeaderFields request);

  /** Tells a target of a call. */
  void describe(HeaderFields request, TargetCall call);

  /**
   * Judges the head of a target's answer.
   *
   * @param request the header fields that were sent
   */
  AnswerVerdict judge(HeaderFields request, int status, HeaderFields answer);

  /** The status of an answer that a node makes itself. */
  int status(Failure failure);

  /**
   * Tells a caller of a failure.
   *
   * @param retryAfter when to come back, if the request has not run
   */
  void describe(HeaderFields answer, Failure failure, Optional<Duration> retryAfter);

  /** The id that a target states in its answer to a health check; empty if it states none. */
  default Optional<String> targetId(HeaderFields answer) {
    return Optional.empty();
  }

  /**
   * Whether targets copy the token of the call that they serve to the calls that they make. If not,
   * each call on the exit listener has retries of its own, and a call that names its parent takes
   * its importance and deadline from there.
   */
  boolean passesTokens();
}
