package dev.arbutusroad.http;

import java.util.Objects;

/**
 * An answer that was received to its last byte.
 *
 * @param status the HTTP status
 * @param body the bytes of the body, which the receiver owns
 */
@SuppressWarnings("ArrayRecordComponent") // The body is handed over once and never compared.
public record WholeAnswer(int status, byte[] body) {
  public WholeAnswer {
    Objects.requireNonNull(body, "body");
  }
}
