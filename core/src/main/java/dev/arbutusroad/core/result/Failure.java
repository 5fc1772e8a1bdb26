package dev.arbutusroad.core.result;

import java.util.Objects;

/**
 * The failure of an operation: a numbered code and a one-line detail for operators.
 *
 * @param code the result code
 * @param detail what failed, with the relevant names and values; must not contain secrets
 */
public record Failure(ResultCode code, String detail) {
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
  }

  /** Returns a failure with the summary of its code as detail. */
  public static Failure of(ResultCode code) {
    return new Failure(code, code.summary());
  }

  @Override
  public String toString() {
    return code.number() + " " + code + ": " + detail;
  }
}
