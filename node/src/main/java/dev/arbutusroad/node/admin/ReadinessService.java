package dev.arbutusroad.node.admin;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.util.function.BooleanSupplier;

/** Answers whether the node takes new callers: 200 if it does, else 503. */
public final class ReadinessService implements StreamingHttpService {
  private final BooleanSupplier ready;

  public ReadinessService(BooleanSupplier ready) {
    this.ready = ready;
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    StreamingHttpResponse response =
        factory.newResponse(
            ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, "0");
    return Single.succeeded(response);
  }
}
