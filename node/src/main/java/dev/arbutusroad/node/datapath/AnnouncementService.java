package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.AnnouncementProtocol;
import dev.arbutusroad.core.edge.AnnouncementProtocol.Announcement;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;

/** Serves the listener on which the local target announces itself. */
public final class AnnouncementService implements StreamingHttpService {
  private static final int MAX_BODY_BYTES = 16_384;

  private final DataPath dataPath;
  private final AnnouncementProtocol protocol;

  public AnnouncementService(DataPath dataPath, AnnouncementProtocol protocol) {
    this.dataPath = dataPath;
    this.protocol = protocol;
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    String method = request.method().name();
    String path = request.rawPath();
    return request
        .payloadBody()
        .collect(ByteArrayOutputStream::new, AnnouncementService::append)
        .map(body -> answer(method, path, body, factory));
  }

  /** Keeps one byte beyond the limit, which tells a body that is too long. */
  private static ByteArrayOutputStream append(ByteArrayOutputStream all, Buffer part) {
    byte[] bytes = new byte[Math.min(part.readableBytes(), MAX_BODY_BYTES + 1 - all.size())];
    part.readBytes(bytes);
    all.writeBytes(bytes);
    return all;
  }

  private StreamingHttpResponse answer(
      String method,
      String path,
      ByteArrayOutputStream body,
      StreamingHttpResponseFactory factory) {
    Either<Failure, Announcement> read =
        body.size() > MAX_BODY_BYTES
            ? Either.left(new Failure(ResultCode.BAD_REQUEST, "the report is too long"))
            : protocol.read(method, path, body.toString(StandardCharsets.UTF_8));
    if (read.isLeft()) {
      Logger.warn("event=announcement_refused path={} reason=\"{}\"", path, read.getLeft());
      return answer(factory.badRequest(), "");
    }
    Announcement announcement = read.get();
    if (announcement instanceof Announcement.Reported reported) {
      dataPath.report(reported.report());
    } else {
      dataPath.left(((Announcement.Left) announcement).instance());
    }
    return answer(factory.ok(), protocol.acknowledgement());
  }

  private static StreamingHttpResponse answer(StreamingHttpResponse response, String body) {
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length()));
    return body.isEmpty()
        ? response
        : response.payloadBody(
            Publisher.from(BufferAllocators.PREFER_HEAP_ALLOCATOR.fromUtf8(body)));
  }
}
