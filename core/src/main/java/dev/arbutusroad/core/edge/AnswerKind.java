package dev.arbutusroad.core.edge;

/** How an answer of a target is to be taken. */
public enum AnswerKind {
  /** It answers the request. */
  ANSWER,
  /** The target has not run the request and says so. */
  NOT_RUN,
  /** Another target has taken over the address; it has not run the request. */
  OTHER_TARGET,
  /** It is not a whole answer to this request, which may have run. */
  UNUSABLE
}
