package dev.arbutusroad.core.result;

/**
 * Numbered outcomes of calls, commands and platform operations.
 *
 * <p>1xx: the request did not run. 2xx: the outcome is unknown. 3xx: configuration and settings
 * errors. 4xx: platform errors. 5xx: command-line errors. The table in {@code docs/result-codes.md}
 * lists the same codes; a test compares the two.
 */
public enum ResultCode {
  NO_SERVICE(100, 404, RunState.NOT_RUN, "no target of the service is known"),
  NO_CONFIGURATION(101, 503, RunState.NOT_RUN, "the node has no configuration yet"),
  LEAVING(102, 503, RunState.NOT_RUN, "the target or its node is leaving"),
  SHED(103, 503, RunState.NOT_RUN, "refused by the admission level"),
  QUEUE_FULL(104, 503, RunState.NOT_RUN, "the admission queue is full"),
  EXPIRED_IN_QUEUE(105, 504, RunState.NOT_RUN, "the deadline passed before the request started"),
  TARGET_UNREACHABLE(106, 503, RunState.NOT_RUN, "no connection to a target could be opened"),
  TARGET_REFUSED(107, 503, RunState.NOT_RUN, "the target refused the request by contract"),
  FATAL_REQUEST(108, 422, RunState.NOT_RUN, "the request has crashed targets before"),
  PLATFORM_UNAVAILABLE(109, 503, RunState.NOT_RUN, "the platform could not confirm the claim"),
  ORDER_KEY_EXPIRED(110, 409, RunState.NOT_RUN, "the order key is too old"),
  BAD_REQUEST(111, 400, RunState.NOT_RUN, "the request is malformed"),
  NOT_READY(112, 503, RunState.NOT_RUN, "the node is not ready"),
  NO_ROUTE(113, 404, RunState.NOT_RUN, "no route leads to the host and path"),
  OUTCOME_UNKNOWN(200, 502, RunState.UNKNOWN, "the request may have run"),
  DEADLINE_EXCEEDED(201, 504, RunState.UNKNOWN, "the deadline passed while the request ran"),
  TARGET_DIED(202, 502, RunState.UNKNOWN, "the target failed while the request ran"),
  ORDER_IN_PROGRESS(203, 409, RunState.UNKNOWN, "the order is running elsewhere"),
  ANSWER_NOT_KEPT(204, 409, RunState.UNKNOWN, "the order ran but its answer was not recorded"),
  SETTINGS_UNREADABLE(300, 0, RunState.NOT_APPLICABLE, "a file can't be read"),
  SETTINGS_SYNTAX(301, 0, RunState.NOT_APPLICABLE, "not valid JSON with comments"),
  SETTINGS_UNKNOWN_KEY(302, 0, RunState.NOT_APPLICABLE, "an unknown key"),
  SETTINGS_DUPLICATE_KEY(303, 0, RunState.NOT_APPLICABLE, "a key occurs twice"),
  SETTINGS_MISSING_KEY(304, 0, RunState.NOT_APPLICABLE, "a required key is missing"),
  SETTINGS_TYPE(305, 0, RunState.NOT_APPLICABLE, "a value has the wrong type"),
  SETTINGS_RANGE(306, 0, RunState.NOT_APPLICABLE, "a value is out of range"),
  SELECTOR_SYNTAX(307, 0, RunState.NOT_APPLICABLE, "a malformed selector"),
  SELECTOR_NEVER_MATCHES(308, 0, RunState.NOT_APPLICABLE, "a selector that can never match"),
  RULES_CONTRADICT(309, 0, RunState.NOT_APPLICABLE, "two rules contradict each other"),
  CONFIGURATION_CONFLICT(310, 0, RunState.NOT_APPLICABLE, "another version was applied meanwhile"),
  CONFIGURATION_NOT_FOUND(311, 0, RunState.NOT_APPLICABLE, "no such configuration version"),
  PLATFORM_TIMEOUT(400, 0, RunState.NOT_APPLICABLE, "the platform did not answer in time"),
  PLATFORM_REFUSED(401, 0, RunState.NOT_APPLICABLE, "the platform refused the operation"),
  PLATFORM_CONFLICT(402, 0, RunState.NOT_APPLICABLE, "a precondition of a write failed"),
  PLATFORM_CIRCUIT_OPEN(403, 0, RunState.NOT_APPLICABLE, "platform calls are suspended"),
  PLATFORM_QUEUE_FULL(404, 0, RunState.NOT_APPLICABLE, "too many platform calls are waiting"),
  USAGE(500, 0, RunState.NOT_APPLICABLE, "bad command line"),
  NODE_UNREACHABLE(501, 0, RunState.NOT_APPLICABLE, "the node does not answer"),
  OUTCOME_MISSED(502, 0, RunState.NOT_APPLICABLE, "a stated outcome was missed");

  private final int number;
  private final int httpStatus;
  private final RunState runState;
  private final String summary;

  ResultCode(int number, int httpStatus, RunState runState, String summary) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.runState = runState;
    this.summary = summary;
  }

  /** Returns the number that operators see; unique and never reused. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status of an answer with this code, or 0 if no answer has this code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the request has run, as far as the code states it. */
  public RunState runState() {
    return runState;
  }

  /** Returns a one-line description for operators. */
  public String summary() {
    return summary;
  }
}
