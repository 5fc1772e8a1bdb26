package dev.arbutusroad.node.admin;

import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BooleanSupplier;

/** Answers readiness checks: 200 if the node takes new callers, otherwise 503. */
public final class ReadinessService implements ExchangeHandler {
  private final BooleanSupplier ready;

  public ReadinessService(BooleanSupplier ready) {
    this.ready = ready;
  }

  @Override
  public void handle(Exchange exchange) {
    exchange.body().discard();
    exchange.answer(
        Answer.of(
            ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
            Unpooled.EMPTY_BUFFER));
  }
}
