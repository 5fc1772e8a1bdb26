package dev.arbutusroad.tools.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * Detects that a caller has closed its connection. ServiceTalk treats it as a half-closed
 * connection and does not cancel a response that has not begun.
 */
public final class Disconnects {
  private static final HttpResponseStatus CALLER_GONE = HttpResponseStatus.of(499, "Caller Gone");

  private Disconnects() {}

  /**
   * Returns a response that completes when the caller closes the connection. Nobody reads it. A
   * failure instead would be logged with its stack trace for each call, which slows an overloaded
   * process.
   */
  public static Single<StreamingHttpResponse> response(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    // A request with "Connection: close" also triggers onClosing(), although its caller waits.
    boolean lastRequest =
        request.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return !lastRequest && context instanceof NettyConnectionContext connection
        ? connection
            .onClosing()
            .concat(Single.fromSupplier(() -> responses.newResponse(CALLER_GONE)))
        : Single.never();
  }
}
