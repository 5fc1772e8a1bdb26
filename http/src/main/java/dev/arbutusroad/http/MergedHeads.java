package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects the head of an answer that was decoded from the start of one answer and the head of the
 * next. A server that breaks off a late duplicate within its head causes this: the rest of the line
 * is then the status line of the next answer, and the status is that of the duplicate.
 */
final class MergedHeads {
  private static final String PROTOCOL = "HTTP/";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  private MergedHeads() {}

  /** Returns whether a part of the head contains the status line of another answer. */
  static boolean isMerged(HttpResponse head) {
    HttpVersion version = head.protocolVersion();
    if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
      return true;
    }
    return containsStatusLine(head.status().reasonPhrase()) || containsStatusLine(head.headers());
  }

  private static boolean containsStatusLine(HttpHeaders headers) {
    for (Iterator<Map.Entry<CharSequence, CharSequence>> iterator = headers.iteratorCharSequence();
        iterator.hasNext(); ) {
      if (containsStatusLine(iterator.next().getValue().toString())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
  }
}
