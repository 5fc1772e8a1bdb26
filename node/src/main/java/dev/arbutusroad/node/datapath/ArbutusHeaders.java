package dev.arbutusroad.node.datapath;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Names of the headers that the system reads and writes, and their removal. */
public final class ArbutusHeaders {
  /** Common prefix of every header of the system. */
  public static final String PREFIX = "arbutus-";

  /** Destination service; replaces the first label of the host header. */
  public static final String SERVICE = "arbutus-service";

  /** The caller's key of an unrepeatable order. */
  public static final String ORDER_KEY = "arbutus-order-key";

  /** Time left for the call, in milliseconds. */
  public static final String DEADLINE_MILLIS = "arbutus-deadline-ms";

  /** Prefix of a label's name. */
  public static final String LABEL_PREFIX = "arbutus-label-";

  /** Token of the inbound call in progress, which a target copies to the calls it makes. */
  public static final String CALL = "arbutus-call";

  /** Authenticated context between nodes. */
  public static final String CONTEXT = "arbutus-context";

  /** Result code of an answer that a node made. */
  public static final String RESULT = "arbutus-result";

  /** Run state of an answer that a node made. */
  public static final String RUN = "arbutus-run";

  /** Value of {@link #RUN}: no byte of the request reached a target. */
  public static final String RUN_NOT_RUN = "not-run";

  /** Sent by a target that refused a request without running any of it. */
  public static final String NOT_RUN = "arbutus-not-run";

  /** Retry allowance that the answering node did not use. */
  public static final String UNUSED = "arbutus-unused";

  /** On answers of a node that stops soon: the client should call another node from now on. */
  public static final String LEAVING = "arbutus-leaving";

  /** Admission levels that a call met, on answers between nodes. */
  public static final String LEVEL = "arbutus-level";

  /** Set in the lower case of an ASCII letter. */
  private static final int LOWER_CASE_BIT = 0x20;

  private ArbutusHeaders() {}

  /** Reads a header as text. */
  static Optional<String> text(HttpHeaders headers, String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Reads a header as a number that is not negative; empty if it is absent or malformed. */
  static Optional<Long> number(HttpHeaders headers, String name) {
    return text(headers, name).flatMap(ArbutusHeaders::parseNumber);
  }

  /** Reads a number that is not negative; empty if it is malformed. */
  static Optional<Long> parseNumber(String value) {
    if (value.isEmpty() || value.length() > 15) {
      return Optional.empty();
    }
    for (int i = 0; i < value.length(); i++) {
      if (value.charAt(i) < '0' || value.charAt(i) > '9') {
        return Optional.empty();
      }
    }
    return Optional.of(Long.parseLong(value));
  }

  /** Removes every header of the system, so that only what a node sets itself is passed on. */
  static void removeAll(HttpHeaders headers) {
    List<CharSequence> names = null;
    for (Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence();
        all.hasNext(); ) {
      CharSequence name = all.next().getKey();
      if (startsWithPrefix(name)) {
        names = names == null ? new ArrayList<>(4) : names;
        names.add(name);
      }
    }
    if (names != null) {
      for (CharSequence name : names) {
        headers.remove(name);
      }
    }
  }

  /** Whether a header is a label. */
  static boolean isLabel(CharSequence header) {
    return header.length() > LABEL_PREFIX.length()
        && startsWithPrefix(header)
        && AsciiString.regionMatches(header, true, 0, LABEL_PREFIX, 0, LABEL_PREFIX.length());
  }

  /** The name of the label in a header, in lower case. */
  static String labelName(CharSequence header) {
    return header.toString().substring(LABEL_PREFIX.length()).toLowerCase(Locale.ROOT);
  }

  /** Most headers differ in the first character already. */
  private static boolean startsWithPrefix(CharSequence name) {
    return name.length() > PREFIX.length()
        && (name.charAt(0) | LOWER_CASE_BIT) == PREFIX.charAt(0)
        && AsciiString.regionMatches(name, true, 0, PREFIX, 0, PREFIX.length());
  }
}
