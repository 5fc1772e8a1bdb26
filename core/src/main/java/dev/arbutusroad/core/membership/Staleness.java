package dev.arbutusroad.core.membership;

/**
 * Tracks whether a member was paused and has not caught up yet.
 *
 * <p>It has caught up when another member acknowledged a probe and a state exchange succeeded, both
 * after the pause, or when no other member is left.
 */
final class Staleness {
  private boolean awaitsAck;
  private boolean awaitsExchange;

  void onPause() {
    awaitsAck = true;
    awaitsExchange = true;
  }

  void onAck() {
    awaitsAck = false;
  }

  void onExchange() {
    awaitsExchange = false;
  }

  void onLivePeerCount(int count) {
    if (count == 0) {
      awaitsAck = false;
      awaitsExchange = false;
    }
  }

  boolean isStale() {
    return awaitsAck || awaitsExchange;
  }
}
