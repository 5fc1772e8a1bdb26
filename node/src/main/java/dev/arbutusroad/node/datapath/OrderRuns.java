package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.node.claim.ClaimDecision;
import dev.arbutusroad.node.claim.ClaimHandle;
import dev.arbutusroad.node.claim.Claims;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SingleTerminalSignalConsumer;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Runs unrepeatable orders with a key at most once: claims them first and records their answers.
 */
final class OrderRuns {
  /**
   * The claim is decided this much before the deadline, at most a tenth of the time left, so that
   * "not run" reaches the caller before its own node gives up with an unknown outcome.
   */
  private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final Claims claims;
  private final Ticker ticker;
  private final Answers answers;

  OrderRuns(Claims claims, Ticker ticker, Answers answers) {
    this.claims = claims;
    this.ticker = ticker;
    this.answers = answers;
  }

  /** Whether a call has to be claimed before it runs. */
  static boolean isClaimed(ReceivedCall call, CallContext context) {
    return context.unrepeatable() && call.orderKey().isPresent();
  }

  /**
   * Claims an order and runs it, or answers it from its claim.
   *
   * @param eventLoop the thread of the data path
   * @param run sends the order to the target; subscribed at most once, after the claim is confirmed
   */
  Single<StreamingHttpResponse> run(
      ReceivedCall call,
      CallContext context,
      long deadlineNanos,
      Executor eventLoop,
      Supplier<Single<StreamingHttpResponse>> run) {
    String key = call.orderKey().orElseThrow();
    long margin = Math.min(ANSWER_MARGIN_NANOS, (deadlineNanos - ticker.nanos()) / 10);
    long decisionNanos = deadlineNanos - margin;
    return Single.defer(
            () -> Single.fromStage(claims.claim(call.service(), key, decisionNanos, eventLoop)))
        .flatMap(decision -> decided(call, context, deadlineNanos, decision, run));
  }

  private Single<StreamingHttpResponse> decided(
      ReceivedCall call,
      CallContext context,
      long deadlineNanos,
      ClaimDecision decision,
      Supplier<Single<StreamingHttpResponse>> run) {
    if (decision instanceof ClaimDecision.Run claimed) {
      if (deadlineNanos - ticker.nanos() <= 0) {
        claimed.handle().releaseNotRun();
        return Single.succeeded(failure(call, context, Failure.of(ResultCode.EXPIRED_IN_QUEUE)));
      }
      return run.get()
          .map(response -> observe(response, claimed.handle()))
          .beforeFinally(new EndWithoutAnswer(claimed.handle()));
    }
    if (decision instanceof ClaimDecision.Answer answer) {
      return Single.succeeded(replay(call, context, answer.answer()));
    }
    return Single.succeeded(failure(call, context, ((ClaimDecision.Refuse) decision).failure()));
  }

  /** Reports how the order ended, from the head of its answer or from the end of its body. */
  private static StreamingHttpResponse observe(StreamingHttpResponse response, ClaimHandle handle) {
    if (response.headers().contains(ArbutusHeaders.RESULT)) {
      if (response.headers().contains(ArbutusHeaders.RUN, ArbutusHeaders.RUN_NOT_RUN)) {
        handle.releaseNotRun();
      } else {
        handle.outcomeUnknown();
      }
      return response;
    }
    AnswerRecorder recorder = new AnswerRecorder(response, handle);
    return response.transformPayloadBody(
        body -> body.beforeOnNext(recorder::add).beforeFinally(recorder));
  }

  private static StreamingHttpResponse replay(
      ReceivedCall call, CallContext context, RecordedAnswer answer) {
    StreamingHttpResponse response =
        call.factory().newResponse(HttpResponseStatus.of(answer.status(), ""));
    answer.headers().forEach(one -> response.headers().add(one.name(), one.value()));
    if (answer.status() != NO_CONTENT && answer.status() != NOT_MODIFIED) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(answer.bodyLength()));
    }
    if (answer.bodyLength() > 0) {
      Buffer body = BufferAllocators.PREFER_HEAP_ALLOCATOR.wrap(answer.body());
      response.payloadBody(Publisher.from(body));
    }
    response.headers().set(ArbutusHeaders.UNUSED, Integer.toString(context.grant()));
    return response;
  }

  private StreamingHttpResponse failure(ReceivedCall call, CallContext context, Failure failure) {
    StreamingHttpResponse response = answers.failure(call.factory(), failure);
    response.headers().set(ArbutusHeaders.UNUSED, Integer.toString(context.grant()));
    return response;
  }

  /** The order was sent and its caller went away, or the data path failed, before an answer. */
  private record EndWithoutAnswer(ClaimHandle handle)
      implements SingleTerminalSignalConsumer<StreamingHttpResponse> {
    @Override
    public void onSuccess(StreamingHttpResponse response) {}

    @Override
    public void onError(Throwable error) {
      handle.outcomeUnknown();
    }

    @Override
    public void cancel() {
      handle.outcomeUnknown();
    }
  }
}
