package dev.arbutusroad.core.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * The value of the table row that records the claim of an order.
 *
 * @param state the state of the claim
 * @param token identifies the attempt that wrote the claim; unique for each attempt
 * @param node the id of the node that made the attempt
 * @param incarnation the incarnation of that node when it started
 * @param answer the recorded answer; present only in the state {@code DONE}
 */
public record ClaimRow(
    ClaimState state,
    String token,
    String node,
    long incarnation,
    Optional<RecordedAnswer> answer) {
  public ClaimRow {
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(token, "token");
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(answer, "answer");
    if (answer.isPresent() && state != ClaimState.DONE) {
      throw new IllegalArgumentException("only a DONE row has an answer, not " + state);
    }
  }

  /** Returns a claim that an attempt has made. */
  public static ClaimRow started(String token, String node, long incarnation) {
    return new ClaimRow(ClaimState.STARTED, token, node, incarnation, Optional.empty());
  }

  /** Returns this claim in another state; token, node and incarnation stay. */
  public ClaimRow settled(ClaimState newState, Optional<RecordedAnswer> newAnswer) {
    return new ClaimRow(newState, token, node, incarnation, newAnswer);
  }
}
