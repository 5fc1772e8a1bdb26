package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.util.function.Supplier;

/**
 * Cancels a call whose caller closes the connection before the answer starts.
 *
 * <p>A closed sending side counts as closed, as a caller that has gone can't be told from one that
 * only closed that side. A caller that announced the close with the request is not cancelled, as
 * the library reports that close at once; its calls end by their deadline.
 */
final class ClientAbort {
  private final Answers answers;
  private boolean draining;

  ClientAbort(Answers answers) {
    this.answers = answers;
  }

  /** From now on connections are closed by this node, which must cancel nothing. */
  void drain() {
    draining = true;
  }

  /**
   * Starts a call and watches the connection.
   *
   * @param start starts the call; it may remove the request's headers
   */
  Single<StreamingHttpResponse> watch(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory,
      Supplier<Single<StreamingHttpResponse>> start) {
    if (isLastOfConnection(request)) {
      return start.get();
    }
    Single<StreamingHttpResponse> aborted =
        context.onClosing().concat(Single.defer(() -> abort(factory)));
    return start.get().ambWith(aborted);
  }

  private Single<StreamingHttpResponse> abort(StreamingHttpResponseFactory factory) {
    if (draining) {
      return Single.never();
    }
    Failure failure = new Failure(ResultCode.OUTCOME_UNKNOWN, "the caller closed the connection");
    return Single.succeeded(answers.failure(factory, failure));
  }

  private static boolean isLastOfConnection(StreamingHttpRequest request) {
    return request.version().equals(HttpProtocolVersion.HTTP_1_0)
        || request.headers().containsIgnoreCase(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
  }
}
