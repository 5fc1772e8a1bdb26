package dev.arbutusroad.http;

/** Told once how an exchange ended. */
@FunctionalInterface
public interface ExchangeListener {
  /**
   * The exchange has ended.
   *
   * @param complete whether the whole answer was written
   */
  void exchangeEnded(boolean complete);
}
