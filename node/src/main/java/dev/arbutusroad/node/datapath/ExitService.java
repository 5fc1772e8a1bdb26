package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/** Handles the requests of the local target: announcements under {@code /arbutus/} and calls. */
public final class ExitService implements ExchangeHandler {
  private static final String ANNOUNCE = "/arbutus/announce";
  private static final String LEAVE = "/arbutus/leave";
  private static final int MAX_ANNOUNCEMENT_BYTES = 4_096;

  private final DataPath dataPath;

  public ExitService(DataPath dataPath) {
    this.dataPath = dataPath;
  }

  @Override
  public void handle(Exchange exchange) {
    boolean post = exchange.request().method().equals(HttpMethod.POST);
    String path = exchange.request().uri();
    if (post && path.equals(ANNOUNCE)) {
      LimitedBodyReader.read(
          exchange, MAX_ANNOUNCEMENT_BYTES, body -> exchange.answer(announce(body)));
    } else if (post && path.equals(LEAVE)) {
      exchange.body().discard();
      dataPath.leave();
      exchange.answer(noContent());
    } else {
      dataPath.handleExit(exchange);
    }
  }

  private Answer announce(Optional<String> body) {
    if (body.isEmpty()) {
      return dataPath
          .answers()
          .failure(
              new Failure(
                  ResultCode.BAD_REQUEST,
                  "an announcement must not exceed " + MAX_ANNOUNCEMENT_BYTES + " bytes"));
    }
    return AnnouncementCodec.decode(body.orElseThrow())
        .fold(
            failure -> dataPath.answers().failure(failure),
            target -> {
              dataPath.announce(target);
              return noContent();
            });
  }

  private static Answer noContent() {
    Answer answer = Answer.of(HttpResponseStatus.NO_CONTENT, Unpooled.EMPTY_BUFFER);
    answer.headers().remove("content-length");
    return answer;
  }
}
