package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.core.retry.RetryAdvice;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

/** Answers that a node makes itself. */
final class Answers {
  private final CallProtocol protocol;
  private final RetryAdvice advice;

  Answers(CallProtocol protocol, RetryAdvice advice) {
    this.protocol = protocol;
    this.advice = advice;
  }

  /** The answer that tells a caller of a failure and whether its request may have run. */
  StreamingHttpResponse failure(StreamingHttpResponseFactory factory, Failure failure) {
    HttpResponseStatus status = HttpResponseStatus.of(protocol.status(failure), "");
    StreamingHttpResponse response = factory.newResponse(status);
    Buffer body = BufferAllocators.PREFER_HEAP_ALLOCATOR.fromUtf8(failure + "\n");
    String run =
        failure.code().runState() == RunState.NOT_RUN ? ArbutusHeaders.RUN_NOT_RUN : "unknown";
    response
        .headers()
        .set(ArbutusHeaders.RESULT, failure.code().number() + " " + failure.code())
        .set(ArbutusHeaders.RUN, run)
        .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
    protocol.describe(
        new StreamingHeaderFields(response.headers()), failure, advice.pause(failure.code()));
    return response.payloadBody(Publisher.from(body));
  }
}
