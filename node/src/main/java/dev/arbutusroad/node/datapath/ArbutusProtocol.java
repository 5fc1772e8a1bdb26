package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.AnswerKind;
import dev.arbutusroad.core.edge.CallMetadata;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.edge.HeaderFields;
import dev.arbutusroad.core.edge.TargetCall;
import dev.arbutusroad.core.result.Failure;
import java.time.Duration;
import java.util.Optional;

/** The call protocol of arbutusroad itself, described in {@code docs/interface.md}. */
public final class ArbutusProtocol implements CallProtocol {
  private static final int SERVICE_UNAVAILABLE = 503;

  @Override
  public CallMetadata readMetadata(HeaderFields request) {
    return new CallMetadata(
        Optional.empty(),
        request.first(ArbutusHeaders.DEADLINE_MILLIS).flatMap(ArbutusHeaders::parseNumber),
        request.first(ArbutusHeaders.ORDER_KEY),
        Optional.empty());
  }

  @Override
  public void writeCallFields(HeaderFields request, TargetCall call) {
    request.set(ArbutusHeaders.CALL, call.token());
    request.set(ArbutusHeaders.DEADLINE_MILLIS, Long.toString(call.remainingMillis()));
  }

  @Override
  public AnswerKind classifyAnswer(
      HeaderFields request, String token, int status, HeaderFields answer) {
    if (identifiesRequest(answer)
        && !answer.first(ArbutusHeaders.CALL).equals(Optional.of(token))) {
      return AnswerKind.UNUSABLE;
    }
    boolean notRun =
        status == SERVICE_UNAVAILABLE
            && answer.first(ArbutusHeaders.NOT_RUN).equals(Optional.of("true"));
    return notRun ? AnswerKind.NOT_RUN : AnswerKind.ANSWER;
  }

  @Override
  public boolean identifiesRequest(HeaderFields answer) {
    return answer.first(ArbutusHeaders.CALL).isPresent();
  }

  @Override
  public int status(Failure failure) {
    return failure.code().httpStatus();
  }

  @Override
  public void writeFailureFields(
      HeaderFields answer, Failure failure, Optional<Duration> retryAfter) {}

  @Override
  public boolean propagatesTokens() {
    return true;
  }
}
