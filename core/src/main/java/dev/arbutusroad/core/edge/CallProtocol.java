package dev.arbutusroad.core.edge;

import dev.arbutusroad.core.result.Failure;
import java.time.Duration;
import java.util.Optional;

/** How callers and targets of a deployment state the terms of a call in header fields. */
public interface CallProtocol {
  /** Reads what a caller says of its call. */
  CallMetadata readMetadata(HeaderFields request);

  /** Tells a target of a call. */
  void writeCallFields(HeaderFields request, TargetCall call);

  /**
   * Judges the head of a target's answer. One that names another request is never usable.
   *
   * @param request the header fields as the caller sent them
   * @param token the token of the call that the target was told
   */
  AnswerKind classifyAnswer(HeaderFields request, String token, int status, HeaderFields answer);

  /**
   * Whether an answer names its request. If not, a second copy of it that comes late can't be told
   * from the answer to the next request of its connection.
   */
  boolean identifiesRequest(HeaderFields answer);

  /** The status of an answer that a node makes itself. */
  int status(Failure failure);

  /**
   * Tells a caller of a failure.
   *
   * @param retryAfter when to come back, if the request has not run
   */
  void writeFailureFields(HeaderFields answer, Failure failure, Optional<Duration> retryAfter);

  /** The id that a target states in its answer to a health check; empty if it states none. */
  default Optional<String> targetId(HeaderFields answer) {
    return Optional.empty();
  }

  /**
   * Whether targets copy the token of the call that they serve to the calls that they make. If not,
   * each call on the exit listener has retries of its own, and a call that names its parent takes
   * its importance and deadline from there.
   */
  boolean propagatesTokens();
}
