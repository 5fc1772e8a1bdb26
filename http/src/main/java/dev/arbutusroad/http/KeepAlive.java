package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Parses the Keep-Alive header, which states how long a server keeps an idle connection open. */
final class KeepAlive {
  private static final String HEADER = "keep-alive";
  private static final String TIMEOUT_PARAMETER = "timeout=";
  private static final int MAX_TIMEOUT_DIGITS = 6;

  /**
   * A request may take this long to arrive; the server must not close the connection before that.
   */
  private static final long MIN_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private KeepAlive() {}

  /**
   * Returns how long the connection may be idle and still be used for a request, in nanoseconds.
   * The result is below the stated timeout by a quarter, at least by {@link #MIN_MARGIN_NANOS}.
   *
   * @param defaultNanos the upper bound, and the result if the answer states no timeout
   */
  static long maxIdleNanos(HttpHeaders answer, long defaultNanos) {
    String value = answer.get(HEADER);
    int parameterStart =
        value == null ? -1 : value.toLowerCase(Locale.ROOT).indexOf(TIMEOUT_PARAMETER);
    if (parameterStart < 0) {
      return defaultNanos;
    }
    int digitsStart = parameterStart + TIMEOUT_PARAMETER.length();
    int digitsEnd = digitsStart;
    while (digitsEnd < value.length()
        && digitsEnd - digitsStart < MAX_TIMEOUT_DIGITS
        && isDigit(value.charAt(digitsEnd))) {
      digitsEnd++;
    }
    if (digitsEnd == digitsStart) {
      return defaultNanos;
    }
    long timeoutNanos =
        TimeUnit.SECONDS.toNanos(Long.parseLong(value.substring(digitsStart, digitsEnd)));
    return Math.min(
        defaultNanos, Math.max(0, timeoutNanos - Math.max(MIN_MARGIN_NANOS, timeoutNanos / 4)));
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }
}
