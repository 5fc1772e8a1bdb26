package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.AnnouncementProtocol;
import dev.arbutusroad.core.edge.AnnouncementProtocol.Announcement;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tinylog.Logger;

/** Serves the listener on which the local target announces itself and reports its state. */
public final class AnnouncementService implements ExchangeHandler {
  private static final int MAX_BODY_BYTES = 16_384;

  private final DataPath dataPath;
  private final AnnouncementProtocol protocol;

  public AnnouncementService(DataPath dataPath, AnnouncementProtocol protocol) {
    this.dataPath = dataPath;
    this.protocol = protocol;
  }

  @Override
  public void handle(Exchange exchange) {
    LimitedBodyReader.read(exchange, MAX_BODY_BYTES, body -> handle(exchange, body));
  }

  private void handle(Exchange exchange, Optional<String> body) {
    String path = exchange.request().uri();
    Either<Failure, Announcement> decoded =
        body.map(text -> protocol.read(exchange.request().method().name(), path, text))
            .orElseGet(
                () ->
                    Either.left(
                        new Failure(
                            ResultCode.BAD_REQUEST, "the announcement exceeds the size limit")))
            .flatMap(this::reject);
    if (decoded.isLeft()) {
      Logger.warn("event=announcement_refused path={} reason=\"{}\"", path, decoded.getLeft());
      exchange.answer(answer(HttpResponseStatus.BAD_REQUEST, ""));
      return;
    }
    Runnable acknowledgement =
        () -> exchange.answer(answer(HttpResponseStatus.OK, protocol.acknowledgement()));
    Announcement announcement = decoded.get();
    if (announcement instanceof Announcement.Reported reported) {
      dataPath.report(reported.report(), acknowledgement);
    } else {
      dataPath.left(((Announcement.Left) announcement).instance(), acknowledgement);
    }
  }

  private Either<Failure, Announcement> reject(Announcement announcement) {
    Optional<Failure> rejection =
        announcement instanceof Announcement.Reported reported
            ? dataPath.rejection(reported.report())
            : Optional.empty();
    return rejection
        .<Either<Failure, Announcement>>map(Either::left)
        .orElseGet(() -> Either.right(announcement));
  }

  private static Answer answer(HttpResponseStatus status, String body) {
    Answer answer =
        Answer.of(status, Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8)));
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    return answer;
  }
}
