package dev.arbutusroad.http;

/** Controls the source that produces the parts of a body. */
public interface BodySource {
  /** Resumes or pauses the source. */
  void setReading(boolean reading);

  /** Tells the source that the rest of the body is not needed. */
  void cancel();

  /** Excludes the connection of the body from reuse after this message. */
  default void retireConnection() {}
}
