package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against sending a request on a connection that the server is about to close. */
final class KeepAliveTest {
  private static final long DEFAULT_NANOS = TimeUnit.SECONDS.toNanos(30);

  @ParameterizedTest
  @CsvSource({
    "timeout=10, 7500",
    "'Timeout=4, max=7', 3000",
    "timeout=1, 500",
    "timeout=0, 0",
    "timeout=9999, 30000",
    "max=3, 30000",
    "timeout=x, 30000",
  })
  void idleLimitIsShorterThanTheStatedTimeout(String value, long millis) {
    HttpHeaders headers = new DefaultHttpHeaders().set("keep-alive", value);
    assertThat(KeepAlive.maxIdleNanos(headers, DEFAULT_NANOS))
        .isEqualTo(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
