package dev.arbutusroad.tools.target;

import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.tools.http.Bodies;
import dev.arbutusroad.tools.http.Disconnects;
import dev.arbutusroad.tools.http.Headers;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.utils.BeforeFinallyHttpOperator;
import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Serves calls: acquires a slot, waits for the service time, makes child calls and responds. */
final class CallService implements StreamingHttpService {
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final long MAX_DEADLINE_MILLIS = TimeUnit.HOURS.toMillis(1);

  private final TargetState state;
  private final ChildCalls childCalls;
  private final Ticker ticker;

  CallService(TargetState state, ChildCalls childCalls, Ticker ticker) {
    this.state = state;
    this.childCalls = childCalls;
    this.ticker = ticker;
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    TargetBehaviour behaviour = state.behaviour();
    return switch (request.path()) {
      case TargetState.HEALTH_PATH ->
          Single.succeeded(
              json(
                  context,
                  behaviour.healthy() ? responses.ok() : responses.serviceUnavailable(),
                  "{\"healthy\":" + behaviour.healthy() + "}"));
      case TargetState.LOAD_PATH ->
          Single.succeeded(json(context, responses.ok(), state.loadJson()));
      default ->
          call(context, request, responses, behaviour)
              .map(response -> withCallToken(request, response));
    };
  }

  /** Copies the call token to the answer, so that the node can reuse the connection. */
  private static StreamingHttpResponse withCallToken(
      StreamingHttpRequest request, StreamingHttpResponse response) {
    CharSequence token = request.headers().get(Headers.CALL);
    return token == null ? response : response.setHeader(Headers.CALL, token);
  }

  private Single<StreamingHttpResponse> call(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses,
      TargetBehaviour behaviour) {
    if (behaviour.refuse()) {
      return Single.succeeded(refusal(responses.serviceUnavailable()));
    }
    Slots.Permit permit = state.slots().acquire();
    if (permit.refused()) {
      return Single.succeeded(refusal(responses.serviceUnavailable()));
    }
    long deadlineNanos = ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis(request));
    IoExecutor executor = context.executionContext().ioExecutor();
    return permit
        .admitted()
        .flatMap(slot -> run(context, request, responses, deadlineNanos))
        .timeout(Duration.ofNanos(Math.max(1, deadlineNanos - ticker.nanos())), executor)
        .onErrorResume(
            TimeoutException.class, timeout -> Single.succeeded(expired(permit, responses)))
        .ambWith(
            // The response to a disconnected caller may never be read, so release the slot here.
            Disconnects.response(context, request, responses)
                .beforeOnSuccess(response -> permit.release()))
        .liftSync(new BeforeFinallyHttpOperator(permit::release));
  }

  private Single<StreamingHttpResponse> run(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses,
      long deadlineNanos) {
    state
        .runs()
        .recordRun(
            request.headers().get(Headers.ORDER_KEY), request.headers().get(Headers.ATTEMPT));
    TargetBehaviour behaviour = state.behaviour();
    if (request.path().equals(behaviour.crashPath())) {
      state.crash();
    }
    return context
        .executionContext()
        .ioExecutor()
        .timer(state.times().next(behaviour))
        .concat(
            Single.defer(
                () ->
                    childCalls.run(
                        request,
                        () -> TimeUnit.NANOSECONDS.toMillis(deadlineNanos - ticker.nanos()))))
        .onErrorReturn(failure -> STATUS_BAD_GATEWAY)
        .map(
            status ->
                status == STATUS_OK
                    ? success(context, request, responses, behaviour)
                    : json(
                        context,
                        responses.newResponse(HttpResponseStatus.of(status, "Child Call Failed")),
                        "{\"childStatus\":" + status + "}"));
  }

  private StreamingHttpResponse success(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses,
      TargetBehaviour behaviour) {
    boolean truncated = request.path().equals(behaviour.cutPath());
    CharSequence digest = request.headers().get(Headers.DIGEST);
    String bytes = request.queryParameter("bytes");
    if (bytes == null && digest != null) {
      Publisher<Buffer> echo = request.payloadBody();
      return responses
          .ok()
          .setHeader(Headers.DIGEST, digest)
          .payloadBody(truncated ? truncate(echo, 1) : echo);
    }
    if (bytes == null) {
      StreamingHttpResponse response =
          json(context, responses.ok(), "{\"service\":\"" + state.service() + "\"}");
      return truncated ? response.transformPayloadBody(body -> truncate(body, 0)) : response;
    }
    int length = Math.min(Bodies.MAX_BYTES, Math.max(0, Integer.parseInt(bytes)));
    Publisher<Buffer> body =
        Bodies.stream(
            context.executionContext().bufferAllocator(), truncated ? length / 2 : length);
    return responses
        .ok()
        .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(length))
        .setHeader(Headers.DIGEST, Bodies.digest(length))
        .payloadBody(
            truncated
                ? body.concat(Publisher.failed(new IOException("response truncated at cutPath")))
                : body);
  }

  private static Publisher<Buffer> truncate(Publisher<Buffer> body, int keptBuffers) {
    return body.takeAtMost(keptBuffers)
        .concat(Publisher.failed(new IOException("response truncated at cutPath")));
  }

  private static StreamingHttpResponse expired(
      Slots.Permit permit, StreamingHttpResponseFactory responses) {
    StreamingHttpResponse response = responses.gatewayTimeout();
    return permit.held() ? response : refusal(response);
  }

  private static StreamingHttpResponse refusal(StreamingHttpResponse response) {
    return response
        .setHeader(Headers.NOT_RUN, "true")
        .setHeader(HttpHeaderNames.CONTENT_LENGTH, "0");
  }

  private static StreamingHttpResponse json(
      HttpServiceContext context, StreamingHttpResponse response, String json) {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    return response
        .setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length))
        .setHeader(Headers.DIGEST, Bodies.digest(bytes))
        .payloadBody(Publisher.from(context.executionContext().bufferAllocator().wrap(bytes)));
  }

  private static long deadlineMillis(StreamingHttpRequest request) {
    CharSequence text = request.headers().get(Headers.DEADLINE_MILLIS);
    if (text == null) {
      return MAX_DEADLINE_MILLIS;
    }
    try {
      return Math.min(MAX_DEADLINE_MILLIS, Long.parseLong(text.toString().trim()));
    } catch (NumberFormatException e) {
      return MAX_DEADLINE_MILLIS;
    }
  }
}
