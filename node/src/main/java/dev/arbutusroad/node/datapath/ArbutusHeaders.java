package dev.arbutusroad.node.datapath;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Names of the headers that nodes read and write, with methods to parse and remove them. */
public final class ArbutusHeaders {
  /** Common prefix of all these headers. */
  public static final String PREFIX = "arbutus-";

  /** Destination service; takes precedence over the first label of the host header. */
  public static final String SERVICE = "arbutus-service";

  /** The caller's key of an unrepeatable order. */
  public static final String ORDER_KEY = "arbutus-order-key";

  /** Time left for the call, in milliseconds. */
  public static final String DEADLINE_MILLIS = "arbutus-deadline-ms";

  /** Prefix of the headers that carry labels; the name of the label follows. */
  public static final String LABEL_PREFIX = "arbutus-label-";

  /** Token of the inbound call in progress, which a target copies to the calls it makes. */
  public static final String CALL = "arbutus-call";

  /** Authenticated call context, sent between nodes. */
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

  /** On answers of a node that is shutting down: the client should call another node. */
  public static final String LEAVING = "arbutus-leaving";

  /** Strictest admission level that a call met, on answers between nodes. */
  public static final String LEVEL = "arbutus-level";

  /** The bit that is set in the lower-case form of an ASCII letter. */
  private static final int LOWER_CASE_BIT = 0x20;

  private ArbutusHeaders() {}

  /** Returns the value of a header; empty if it is absent. */
  static Optional<String> text(HttpHeaders headers, String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns a header as a non-negative number; empty if it is absent or malformed. */
  static Optional<Long> number(HttpHeaders headers, String name) {
    return text(headers, name).flatMap(ArbutusHeaders::parseNumber);
  }

  /** Parses a non-negative number of up to 15 digits; empty if it is malformed. */
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

  /** Removes all arbutus headers, so that only those set by this node are forwarded. */
  static void removeAll(HttpHeaders headers) {
    List<CharSequence> names = null;
    for (Iterator<Map.Entry<CharSequence, CharSequence>> headerIterator =
            headers.iteratorCharSequence();
        headerIterator.hasNext(); ) {
      CharSequence name = headerIterator.next().getKey();
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

  /** Returns whether a header carries a label. */
  static boolean isLabel(CharSequence header) {
    return header.length() > LABEL_PREFIX.length()
        && startsWithPrefix(header)
        && AsciiString.regionMatches(header, true, 0, LABEL_PREFIX, 0, LABEL_PREFIX.length());
  }

  /** Returns the name of the label that a header carries, in lower case. */
  static String labelName(CharSequence header) {
    return header.toString().substring(LABEL_PREFIX.length()).toLowerCase(Locale.ROOT);
  }

  /** Compares the first character separately, as most headers differ in it. */
  private static boolean startsWithPrefix(CharSequence name) {
    return name.length() > PREFIX.length()
        && (name.charAt(0) | LOWER_CASE_BIT) == PREFIX.charAt(0)
        && AsciiString.regionMatches(name, true, 0, PREFIX, 0, PREFIX.length());
  }
}
