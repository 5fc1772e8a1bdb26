package dev.arbutusroad.http;

/** Answers requests; called on the event loop, must not block. */
@FunctionalInterface
public interface ExchangeHandler {
  /** Takes a request, whose body may still be on its way. */
  void handle(Exchange exchange);
}
