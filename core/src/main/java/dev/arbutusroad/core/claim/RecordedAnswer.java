package dev.arbutusroad.core.claim;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** The complete answer to an order, which is returned again when the caller resends the order. */
public final class RecordedAnswer {
  /** Longer bodies are not recorded: a row holds at most 128 KiB and stores the body in Base64. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** Headers with more characters in their names and values together are not recorded. */
  public static final int MAX_HEADER_CHARS = 8 * 1024;

  private static final int MIN_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private final int status;
  private final List<Header> headers;
  private final byte[] body;

  /** One header of an answer. */
  public record Header(String name, String value) {
    public Header {
      Objects.requireNonNull(name, "name");
      Objects.requireNonNull(value, "value");
    }
  }

  private RecordedAnswer(int status, List<Header> headers, byte[] body) {
    this.status = status;
    this.headers = List.copyOf(headers);
    this.body = body.clone();
  }

  /**
   * Returns an answer; empty if it is too large to be recorded.
   *
   * @param status the HTTP status, 200 to 599
   * @throws IllegalArgumentException if the status is out of range
   */
  public static Optional<RecordedAnswer> of(int status, List<Header> headers, byte[] body) {
    if (status < MIN_STATUS || status > MAX_STATUS) {
      throw new IllegalArgumentException("status must be 200 to 599, not " + status);
    }
    int headerChars =
        headers.stream().mapToInt(header -> header.name().length() + header.value().length()).sum();
    return body.length > MAX_BODY_BYTES || headerChars > MAX_HEADER_CHARS
        ? Optional.empty()
        : Optional.of(new RecordedAnswer(status, headers, body));
  }

  public int status() {
    return status;
  }

  public List<Header> headers() {
    return headers;
  }

  /** Returns a copy of the body. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the length of the body in bytes. */
  public int bodyLength() {
    return body.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RecordedAnswer that
        && status == that.status
        && headers.equals(that.headers)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return Objects.hash(status, headers, Arrays.hashCode(body));
  }

  /** Returns the status and the body length only, so that headers and bodies are never logged. */
  @Override
  public String toString() {
    return "RecordedAnswer[status=" + status + ", bodyLength=" + body.length + "]";
  }
}
