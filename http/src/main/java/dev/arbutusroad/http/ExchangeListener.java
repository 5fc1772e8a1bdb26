package dev.arbutusroad.http;

/** A listener that is told once how an exchange ended. */
@FunctionalInterface
public interface ExchangeListener {
  /**
   * Called when the exchange has ended.
   *
   * @param complete whether the whole answer was written
   */
  void exchangeEnded(boolean complete);
}
