package dev.arbutusroad.http;

/** How a body ended. */
public sealed interface BodyEnd {
  /** Its last byte was handed over. */
  record Completed() implements BodyEnd {}

  /** It broke off at its source. */
  record Failed(Throwable cause) implements BodyEnd {}

  /** Its consumer did not want the rest. */
  record Cancelled() implements BodyEnd {}
}
