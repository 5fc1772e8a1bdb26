package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Reads how long the other side keeps an idle connection open. */
final class KeepAlive {
  private static final String HEADER = "keep-alive";
  private static final String TIMEOUT = "timeout=";
  private static final int MAX_DIGITS = 6;

  /** A request takes up to this long to arrive, and the other side's timer must not win. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private KeepAlive() {}

  /**
   * How long the connection may be idle and still take a request.
   *
   * @param defaultNanos the time if the answer does not tell
   */
  static long idleNanos(HttpHeaders answer, long defaultNanos) {
    String value = answer.get(HEADER);
    int start = value == null ? -1 : value.toLowerCase(Locale.ROOT).indexOf(TIMEOUT);
    if (start < 0) {
      return defaultNanos;
    }
    int first = start + TIMEOUT.length();
    int end = first;
    while (end < value.length() && end - first < MAX_DIGITS && isDigit(value.charAt(end))) {
      end++;
    }
    if (end == first) {
      return defaultNanos;
    }
    long stated = TimeUnit.SECONDS.toNanos(Long.parseLong(value.substring(first, end)));
    return Math.min(defaultNanos, Math.max(0, stated - Math.max(MARGIN_NANOS, stated / 4)));
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }
}
