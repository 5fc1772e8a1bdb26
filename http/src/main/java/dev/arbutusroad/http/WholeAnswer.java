package dev.arbutusroad.http;

import java.util.Objects;

/**
 * An answer that has been received completely.
 *
 * @param status the HTTP status
 * @param body the body, which belongs to the receiver
 */
@SuppressWarnings("ArrayRecordComponent") // The body has one owner and is never compared.
public record WholeAnswer(int status, byte[] body) {
  public WholeAnswer {
    Objects.requireNonNull(body, "body");
  }
}
