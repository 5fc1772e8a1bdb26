package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.config.CallPolicy;
import java.util.function.IntSupplier;

/**
 * Limits the retries to one service to a share of its calls.
 *
 * <p>A call that its target has answered, if only with a refusal, deposits a share of a token, and
 * retries take tokens; so retries end soon after answers do, and each call that must be made again
 * because of a retry further up counts as a retry as well.
 */
public final class RetryBudget {
  /** Retries per answered call; three quarters of what the users' rules allow. */
  static final double SHARE = 0.15;

  /**
   * Tokens that all nodes together may save up; less than the fixed number of retries that the
   * users' rules leave to one service in ten seconds.
   */
  static final double MAX_TOKENS_OF_ALL = 40;

  /** Bounds the burst of one node while it knows few others. */
  static final double MAX_TOKENS = 5;

  /** The share of the tokens beyond the first that important calls leave to critical ones. */
  private static final double IMPORTANT_RESERVE = 0.25;

  /** The share that all other calls leave to important and critical ones. */
  private static final double NORMAL_RESERVE = 0.5;

  private final IntSupplier nodes;
  private double tokens;

  /**
   * The budget of one node.
   *
   * @param nodes counts the nodes that share the tokens
   */
  public RetryBudget(IntSupplier nodes) {
    this.nodes = nodes;
    tokens = maxTokens();
  }

  /** Counts the answer to the first attempt of a call. */
  public void recordAnswer() {
    tokens = Math.min(maxTokens(), tokens + SHARE);
  }

  /**
   * Whether a retry is allowed. Less important calls leave a reserve: where targets refuse most
   * calls, the few retries complete some chains of calls instead of none.
   */
  public boolean allows(int importance) {
    return tokens >= 1 + reserve(importance) * (maxTokens() - 1);
  }

  private double maxTokens() {
    return Math.max(1, Math.min(MAX_TOKENS, MAX_TOKENS_OF_ALL / Math.max(1, nodes.getAsInt())));
  }

  private static double reserve(int importance) {
    if (importance >= CallPolicy.CRITICAL_IMPORTANCE) {
      return 0;
    }
    return importance >= CallPolicy.IMPORTANT_IMPORTANCE ? IMPORTANT_RESERVE : NORMAL_RESERVE;
  }

  /** Takes the token of one retry. */
  public void spend() {
    if (tokens < 1) {
      throw new IllegalStateException("the retry budget is empty");
    }
    tokens--;
  }

  /** Counts a call that is made again because of a retry further up; it can't be refused here. */
  public void recordRepeatedCall() {
    tokens = Math.max(-MAX_TOKENS, tokens - 1);
  }

  /** The number of retries that are allowed now; negative after calls that were made again. */
  public double tokens() {
    return tokens;
  }
}
