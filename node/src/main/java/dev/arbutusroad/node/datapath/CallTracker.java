package dev.arbutusroad.node.datapath;

import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeListener;

/** Counts calls from their first byte to the last byte of their answer, for a graceful stop. */
final class CallTracker implements ExchangeListener {
  private int inProgress;
  private long started;
  private long cut;

  /** Counts a call until its answer has been written or its caller has gone. */
  void track(Exchange exchange) {
    inProgress++;
    started++;
    exchange.whenEnded(this);
  }

  @Override
  public void exchangeEnded(boolean complete) {
    inProgress--;
    cut += complete ? 0 : 1;
  }

  int inProgress() {
    return inProgress;
  }

  long started() {
    return started;
  }

  /** Answers that ended before their last byte. */
  long cut() {
    return cut;
  }
}
