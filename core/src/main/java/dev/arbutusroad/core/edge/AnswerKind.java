package dev.arbutusroad.core.edge;

/** The classification of a target's answer. */
public enum AnswerKind {
  /** A valid answer to the request. */
  ANSWER,
  /** The target states that it has not run the request. */
  NOT_RUN,
  /** Another target now uses the address; it has not run the request. */
  OTHER_TARGET,
  /** Not a whole answer to this request, which may have run. */
  UNUSABLE
}
