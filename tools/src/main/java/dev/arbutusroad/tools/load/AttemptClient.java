package dev.arbutusroad.tools.load;

import dev.arbutusroad.tools.http.Bodies;
import dev.arbutusroad.tools.http.Headers;
import dev.arbutusroad.tools.load.CallResult.Answer;
import dev.arbutusroad.tools.trace.TraceCall;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseMetaData;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.zip.CRC32C;

/** Sends individual attempts of calls and checks their answers. */
final class AttemptClient {
  private static final int STATUS_OK = 200;
  private static final String RUN_STATE_NOT_RUN = "not-run";

  private AttemptClient() {}

  /** Sends one attempt with a timeout of {@code waitMillis}; failures become answers. */
  static Single<Answer> send(
      StreamingHttpClient client, TraceCall call, String attempt, long waitMillis) {
    Executor executor = client.executionContext().ioExecutor();
    return client
        .request(request(client, call, attempt, waitMillis))
        .flatMap(response -> check(response, call))
        .timeout(Duration.ofMillis(Math.max(1, waitMillis)), executor)
        .onErrorReturn(
            failure -> failure instanceof TimeoutException ? Answer.TIMED_OUT : Answer.FAILED);
  }

  private static StreamingHttpRequest request(
      StreamingHttpClient client, TraceCall call, String attempt, long waitMillis) {
    StreamingHttpRequest request =
        client.newRequest(
            HttpRequestMethod.of(call.method(), HttpRequestMethod.Properties.NONE), call.path());
    request
        .setHeader(HttpHeaderNames.HOST, call.service())
        .setHeader(Headers.ATTEMPT, attempt)
        .setHeader(Headers.DEADLINE_MILLIS, Long.toString(Math.max(1, waitMillis)));
    call.labels().forEach((name, value) -> request.setHeader(Headers.LABEL_PREFIX + name, value));
    if (!call.orderKey().isEmpty()) {
      request.setHeader(Headers.ORDER_KEY, call.orderKey());
    }
    if (call.requestBytes() > 0) {
      request
          .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(call.requestBytes()))
          .setHeader(Headers.DIGEST, Bodies.digest(call.requestBytes()))
          .payloadBody(
              Bodies.stream(client.executionContext().bufferAllocator(), call.requestBytes()));
    }
    return request;
  }

  private static Single<Answer> check(StreamingHttpResponse response, TraceCall call) {
    if (response.status().code() != STATUS_OK) {
      Answer answer = isNotRun(response) ? Answer.NOT_RUN : Answer.FAILED;
      return response.messageBody().ignoreElements().concat(Single.succeeded(answer));
    }
    CharSequence digest = response.headers().get(Headers.DIGEST);
    return response
        .payloadBody()
        .collect(Received::new, Received::add)
        .map(received -> received.matches(call.responseBytes(), digest))
        .map(correct -> correct ? Answer.CORRECT : Answer.WRONG)
        .onErrorReturn(failure -> !(failure instanceof TimeoutException), e -> Answer.TRUNCATED);
  }

  private static boolean isNotRun(HttpResponseMetaData response) {
    return response.headers().containsIgnoreCase(Headers.RUN, RUN_STATE_NOT_RUN)
        || response.headers().containsIgnoreCase(Headers.NOT_RUN, "true");
  }

  private static final class Received {
    private final CRC32C checksum = new CRC32C();
    private long bytes;

    Received add(Buffer buffer) {
      bytes += buffer.readableBytes();
      Bodies.update(checksum, buffer);
      return this;
    }

    boolean matches(int expectedBytes, CharSequence digest) {
      boolean lengthMatches = expectedBytes < 0 || expectedBytes == bytes;
      return lengthMatches && digest != null && Bodies.format(checksum).contentEquals(digest);
    }
  }
}
