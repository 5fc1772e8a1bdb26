package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.core.retry.RetryAdvice;
import dev.arbutusroad.http.Answer;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** Creates the answers that a node makes itself. */
final class Answers {
  private final CallProtocol protocol;
  private final RetryAdvice advice;

  Answers(CallProtocol protocol, RetryAdvice advice) {
    this.protocol = protocol;
    this.advice = advice;
  }

  /** Returns an answer that states a failure and whether the request may have run. */
  Answer failure(Failure failure) {
    byte[] body = (failure + "\n").getBytes(StandardCharsets.UTF_8);
    Answer answer =
        Answer.of(
            HttpResponseStatus.valueOf(protocol.status(failure)), Unpooled.wrappedBuffer(body));
    String run =
        failure.code().runState() == RunState.NOT_RUN ? ArbutusHeaders.RUN_NOT_RUN : "unknown";
    answer
        .headers()
        .set(ArbutusHeaders.RESULT, failure.code().number() + " " + failure.code())
        .set(ArbutusHeaders.RUN, run)
        .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    protocol.describe(
        new MessageHeaderFields(answer.headers()), failure, advice.pause(failure.code()));
    return answer;
  }
}
