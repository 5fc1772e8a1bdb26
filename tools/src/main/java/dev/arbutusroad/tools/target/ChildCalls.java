package dev.arbutusroad.tools.target;

import dev.arbutusroad.tools.http.Headers;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Calls the child services one after another through the exit listener of the target's node. */
final class ChildCalls {
  private static final int STATUS_OK = 200;

  private final Optional<StreamingHttpClient> exit;
  private final String service;
  private final List<String> children;

  ChildCalls(Optional<StreamingHttpClient> exit, String service, List<String> children) {
    this.exit = exit;
    this.service = service;
    this.children = children;
  }

  /** Returns the status of the first child call that failed, or 200 if all succeeded. */
  Single<Integer> run(HttpRequestMetaData parent, LongSupplier remainingMillis) {
    Single<Integer> result = Single.succeeded(STATUS_OK);
    for (String child : children) {
      result =
          result.flatMap(
              status ->
                  status == STATUS_OK
                      ? call(child, parent, remainingMillis)
                      : Single.succeeded(status));
    }
    return result;
  }

  private Single<Integer> call(
      String child, HttpRequestMetaData parent, LongSupplier remainingMillis) {
    StreamingHttpClient client = exit.orElseThrow();
    StreamingHttpRequest request = client.get("/from/" + service);
    request.setHeader(HttpHeaderNames.HOST, child);
    CharSequence token = parent.headers().get(Headers.CALL);
    if (token != null) {
      request.setHeader(Headers.CALL, token);
    }
    if (parent.headers().contains(Headers.DEADLINE_MILLIS)) {
      request.setHeader(
          Headers.DEADLINE_MILLIS, Long.toString(Math.max(1, remainingMillis.getAsLong())));
    }
    return client.request(request).flatMap(ChildCalls::drain);
  }

  private static Single<Integer> drain(StreamingHttpResponse response) {
    return response
        .messageBody()
        .ignoreElements()
        .concat(Single.succeeded(response.status().code()));
  }
}
