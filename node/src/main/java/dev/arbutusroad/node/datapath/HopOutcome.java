package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.http.Answer;

/** How one attempt of a call ended, as far as the answer's head tells. */
sealed interface HopOutcome {
  /** The other side answered; the body is still to be read. */
  record Answered(Answer answer) implements HopOutcome {}

  /** No answer, with what can be said of the request having run. */
  record Failed(Failure failure) implements HopOutcome {}
}
