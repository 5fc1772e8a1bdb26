package dev.arbutusroad.http;

/** Where the parts of a body come from. */
public interface BodySource {
  /** Asks the source to go on or to pause. */
  void setReading(boolean reading);

  /** The consumer does not want the rest. */
  void cancel();

  /** The connection that the body comes on must not carry another message afterwards. */
  default void retireConnection() {}
}
