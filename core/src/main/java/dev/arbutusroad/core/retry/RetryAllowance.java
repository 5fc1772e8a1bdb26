package dev.arbutusroad.core.retry;

/**
 * The number of retries that may still be made on behalf of one inbound call.
 *
 * <p>Each attempt of a child call is granted half of the remaining retries. The child's node
 * returns the unused part of its grant; if the answer is lost, the grant is forfeited. Grants are
 * split, spent or forfeited but never increased, so one original request causes at most as many
 * retries as its allowance, regardless of the depth and fan-out of its call tree.
 */
public final class RetryAllowance {
  private int remaining;
  private int forfeited;

  public RetryAllowance(int granted) {
    if (granted < 0) {
      throw new IllegalArgumentException("granted must not be negative, but is " + granted);
    }
    this.remaining = granted;
  }

  public int remaining() {
    return remaining;
  }

  /** Returns the sum of the grants to attempts whose answers were lost. */
  public int forfeited() {
    return forfeited;
  }

  /** Takes half of the remaining retries, rounded down, as the grant of one child attempt. */
  public int takeGrant() {
    int grant = remaining / 2;
    remaining -= grant;
    return grant;
  }

  /**
   * Returns the unused part of the grant of an answered attempt. The part is limited to the range
   * from 0 to the grant, whatever the answer states.
   */
  public void returnUnused(int granted, long unused) {
    int returned = (int) Math.max(0, Math.min(granted, unused));
    remaining += returned;
  }

  /** Forfeits the grant of an attempt whose answer was lost, because it may have been spent. */
  public void forfeit(int granted) {
    forfeited += granted;
  }

  /** Takes one retry; returns false if none is left. */
  public boolean spend() {
    if (remaining == 0) {
      return false;
    }
    remaining--;
    return true;
  }

  /** Returns the remaining retries and sets them to zero, so that later child calls get none. */
  public int close() {
    int unused = remaining;
    remaining = 0;
    return unused;
  }
}
