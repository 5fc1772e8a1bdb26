package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.nio.charset.StandardCharsets;

/** Serves the local target: its announcements under {@code /arbutus/} and its outgoing calls. */
public final class ExitService implements StreamingHttpService {
  private static final String ANNOUNCE = "/arbutus/announce";
  private static final String LEAVE = "/arbutus/leave";
  private static final int MAX_ANNOUNCEMENT_BYTES = 4_096;

  private final DataPath dataPath;

  public ExitService(DataPath dataPath) {
    this.dataPath = dataPath;
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    boolean post = request.method().equals(HttpRequestMethod.POST);
    if (post && request.rawPath().equals(ANNOUNCE)) {
      return announce(request, factory);
    }
    if (post && request.rawPath().equals(LEAVE)) {
      dataPath.leave();
      return Single.succeeded(factory.noContent());
    }
    return dataPath.handleExit(context, request, factory);
  }

  private Single<StreamingHttpResponse> announce(
      StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
    return request
        .payloadBody()
        .collect(StringBuilder::new, ExitService::append)
        .map(
            body ->
                AnnouncementCodec.decode(body.toString())
                    .fold(
                        failure -> dataPath.answers().failure(factory, failure),
                        target -> accept(target, factory)))
        .onErrorReturn(
            OversizedAnnouncementException.class,
            error ->
                dataPath
                    .answers()
                    .failure(
                        factory,
                        new Failure(
                            ResultCode.BAD_REQUEST,
                            "an announcement has at most " + MAX_ANNOUNCEMENT_BYTES + " bytes")));
  }

  private static StringBuilder append(StringBuilder all, Buffer part) {
    if (all.length() + part.readableBytes() > MAX_ANNOUNCEMENT_BYTES) {
      throw new OversizedAnnouncementException();
    }
    return all.append(part.toString(StandardCharsets.UTF_8));
  }

  private StreamingHttpResponse accept(LocalTarget target, StreamingHttpResponseFactory factory) {
    dataPath.announce(target);
    return factory.noContent();
  }

  /** Ends the reading of an announcement that is too long. */
  private static final class OversizedAnnouncementException extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }
}
