package dev.arbutusroad.http;

/** The way in which a body ended. */
public sealed interface BodyEnd {
  /** The whole body was passed to its sink. */
  record Completed() implements BodyEnd {}

  /** The source failed before the body was complete. */
  record Failed(Throwable cause) implements BodyEnd {}

  /** The consumer cancelled the body before its end. */
  record Cancelled() implements BodyEnd {}
}
