package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.http.Answer;

/**
 * The outcome of one attempt of a call, known at the latest when the head of the answer arrives.
 */
sealed interface HopOutcome {
  /** The peer answered; the body has not been read yet. */
  record Answered(Answer answer) implements HopOutcome {}

  /** No answer arrived; the code of the failure tells whether the request may have run. */
  record Failed(Failure failure) implements HopOutcome {}
}
