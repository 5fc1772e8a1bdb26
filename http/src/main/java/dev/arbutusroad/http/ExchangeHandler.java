package dev.arbutusroad.http;

/** Handles requests; called on the event loop, so it must not block. */
@FunctionalInterface
public interface ExchangeHandler {
  /** Handles a request, whose body may still be incomplete. */
  void handle(Exchange exchange);
}
