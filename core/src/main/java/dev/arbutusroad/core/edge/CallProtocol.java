package dev.arbutusroad.core.edge;

import dev.arbutusroad.core.result.Failure;
import java.time.Duration;
import java.util.Optional;

/** The header fields that callers and targets of a deployment exchange about a call. */
public interface CallProtocol {
  /** Reads the metadata of a call from the caller's request. */
  CallMetadata readMetadata(HeaderFields request);

  /** Writes the fields of a request to a target. */
  void writeCallFields(HeaderFields request, TargetCall call);

  /**
   * Classifies a target's answer by its status and header fields. An answer that identifies another
   * request is always {@link AnswerKind#UNUSABLE}.
   *
   * @param request the header fields of the caller's request
   * @param token the token of the call that was sent to the target
   */
  AnswerKind classifyAnswer(HeaderFields request, String token, int status, HeaderFields answer);

  /**
   * Returns whether an answer identifies its request. If it does not, a duplicate of the answer
   * that arrives late cannot be distinguished from the answer to the next request on the
   * connection.
   */
  boolean identifiesRequest(HeaderFields answer);

  /** Returns the HTTP status of an answer that the node generates for a failure. */
  int status(Failure failure);

  /**
   * Writes the fields of an answer that reports a failure to the caller.
   *
   * @param retryAfter the time after which to retry, if the request has not run
   */
  void writeFailureFields(HeaderFields answer, Failure failure, Optional<Duration> retryAfter);

  /** Returns the target id in the answer to a health check; empty if the answer has none. */
  default Optional<String> targetId(HeaderFields answer) {
    return Optional.empty();
  }

  /**
   * Returns whether targets copy the token of the call that they serve to the calls that they make.
   * If not, each call on the exit listener has its own retry allowance, and a call that identifies
   * its parent inherits the importance and deadline of the parent.
   */
  boolean propagatesTokens();
}
