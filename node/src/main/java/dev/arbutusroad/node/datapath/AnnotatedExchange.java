package dev.arbutusroad.node.datapath;

import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Body;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeListener;
import io.netty.handler.codec.http.HttpRequest;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** An exchange that adds headers to its answer before sending it. */
record AnnotatedExchange(Exchange exchange, Consumer<Answer> annotation) implements Exchange {
  @Override
  public HttpRequest request() {
    return exchange.request();
  }

  @Override
  public OptionalLong bodyLength() {
    return exchange.bodyLength();
  }

  @Override
  public long waitedNanos() {
    return exchange.waitedNanos();
  }

  @Override
  public Body body() {
    return exchange.body();
  }

  @Override
  public void answer(Answer answer) {
    annotation.accept(answer);
    exchange.answer(answer);
  }

  @Override
  public boolean isEnded() {
    return exchange.isEnded();
  }

  @Override
  public void whenEnded(ExchangeListener listener) {
    exchange.whenEnded(listener);
  }
}
