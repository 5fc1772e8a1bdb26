package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.AnswerVerdict;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.edge.CallerTerms;
import dev.arbutusroad.core.edge.HeaderFields;
import dev.arbutusroad.core.edge.TargetCall;
import dev.arbutusroad.core.result.Failure;
import java.time.Duration;
import java.util.Optional;

/** The call protocol of arbutusroad itself, described in {@code docs/interface.md}. */
public final class ArbutusProtocol implements CallProtocol {
  private static final int SERVICE_UNAVAILABLE = 503;

  @Override
  public CallerTerms terms(HeaderFields request) {
    return new CallerTerms(
        Optional.empty(),
        request.first(ArbutusHeaders.DEADLINE_MILLIS).flatMap(ArbutusHeaders::parseNumber),
        request.first(ArbutusHeaders.ORDER_KEY),
        Optional.empty());
  }

  @Override
  public void describe(HeaderFields request, TargetCall call) {
    request.set(ArbutusHeaders.CALL, call.token());
    request.set(ArbutusHeaders.DEADLINE_MILLIS, Long.toString(call.remainingMillis()));
  }

  @Override
  public AnswerVerdict judge(HeaderFields request, String token, int status, HeaderFields answer) {
    if (namesRequest(answer) && !answer.first(ArbutusHeaders.CALL).equals(Optional.of(token))) {
      return AnswerVerdict.UNUSABLE;
    }
    boolean notRun =
        status == SERVICE_UNAVAILABLE
            && answer.first(ArbutusHeaders.NOT_RUN).equals(Optional.of("true"));
    return notRun ? AnswerVerdict.NOT_RUN : AnswerVerdict.ANSWER;
  }

  @Override
  public boolean namesRequest(HeaderFields answer) {
    return answer.first(ArbutusHeaders.CALL).isPresent();
  }

  @Override
  public int status(Failure failure) {
    return failure.code().httpStatus();
  }

  @Override
  public void describe(HeaderFields answer, Failure failure, Optional<Duration> retryAfter) {}

  @Override
  public boolean passesTokens() {
    return true;
  }
}
