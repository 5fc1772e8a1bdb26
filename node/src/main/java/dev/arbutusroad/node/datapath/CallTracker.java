package dev.arbutusroad.node.datapath;

import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeListener;

/** Counts calls from the first byte to the last byte of the answer, for a graceful shutdown. */
final class CallTracker implements ExchangeListener {
  private int inProgress;
  private long started;
  private long cut;

  /** Counts a call until its answer has been written or its caller has disconnected. */
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

  /** Returns the number of answers that ended before their last byte. */
  long cut() {
    return cut;
  }
}
