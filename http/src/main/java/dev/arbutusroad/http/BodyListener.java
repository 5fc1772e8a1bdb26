package dev.arbutusroad.http;

/** A listener that is told once how a body ended. */
@FunctionalInterface
public interface BodyListener {
  /** Called when the body has ended, before its sink is told. */
  void bodyEnded(BodyEnd end);
}
