package dev.arbutusroad.tools.target;

import dev.arbutusroad.tools.http.HttpEndpoints;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Announces a target to its node and tells the node when the target leaves. */
final class Announcer {
  static final int INTERVAL_MILLIS = 1_000;

  private static final String ANNOUNCE_PATH = "/arbutus/announce";
  private static final String LEAVE_PATH = "/arbutus/leave";

  private final StreamingHttpClient exit;
  private final String json;

  Announcer(StreamingHttpClient exit, String service, InetSocketAddress address) {
    this.exit = exit;
    this.json =
        "{\"service\":\"%s\",\"address\":\"%s\",\"healthPath\":\"%s\",\"loadPath\":\"%s\"}"
            .formatted(
                service,
                HttpEndpoints.format(address),
                TargetState.HEALTH_PATH,
                TargetState.LOAD_PATH);
  }

  /**
   * Sends one announcement. A failure is logged and not retried, because the next announcement
   * follows after {@link #INTERVAL_MILLIS}. An announcement times out after the same interval, so
   * that a missing answer does not delay the next one.
   */
  Completable announce() {
    return post(ANNOUNCE_PATH)
        .timeout(INTERVAL_MILLIS, TimeUnit.MILLISECONDS, exit.executionContext().ioExecutor())
        .onErrorComplete(
            failure -> {
              Logger.warn("event=announce_failed reason=\"{}\"", failure.toString());
              return true;
            });
  }

  /** Tells the node that the target leaves. */
  Completable leave() {
    return post(LEAVE_PATH);
  }

  private Completable post(String path) {
    StreamingHttpRequest request =
        exit.post(path)
            .setHeader(HttpHeaderNames.HOST, "localhost")
            .setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json")
            .payloadBody(Publisher.from(exit.executionContext().bufferAllocator().fromUtf8(json)));
    return exit.request(request)
        .flatMapCompletable(response -> response.messageBody().ignoreElements());
  }
}
