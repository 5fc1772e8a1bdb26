package dev.arbutusroad.tools.http;

/** Names of the headers that the tools and stand-ins read or write. */
public final class Headers {
  /** Milliseconds until the caller stops waiting. */
  public static final String DEADLINE_MILLIS = "arbutus-deadline-ms";

  /** Token of the inbound call that a target copies to its child calls. */
  public static final String CALL = "arbutus-call";

  /** Set to {@code true} by a target that refused a request without running it. */
  public static final String NOT_RUN = "arbutus-not-run";

  /** Set to {@code not-run} or {@code unknown} on responses that a node generates. */
  public static final String RUN = "arbutus-run";

  /** Number and name of the result code of a response that a node generates. */
  public static final String RESULT = "arbutus-result";

  /** Key that the caller gives to an unrepeatable order. */
  public static final String ORDER_KEY = "arbutus-order-key";

  /** Prefix of headers that carry labels. */
  public static final String LABEL_PREFIX = "arbutus-label-";

  /** CRC32C of the body, as {@code crc32c=} and eight hexadecimal digits. */
  public static final String DIGEST = "x-digest";

  /** Id of one attempt of the load tool; matches runs with answers. */
  public static final String ATTEMPT = "x-attempt";

  private Headers() {}
}
