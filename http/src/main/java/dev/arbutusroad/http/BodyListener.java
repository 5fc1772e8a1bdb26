package dev.arbutusroad.http;

/** Told once how a body ended. */
@FunctionalInterface
public interface BodyListener {
  /** The body has ended; its sink is told next. */
  void bodyEnded(BodyEnd end);
}
