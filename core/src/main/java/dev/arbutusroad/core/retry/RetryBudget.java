package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.config.CallPolicy;
import java.util.function.IntSupplier;

/**
 * A token bucket that limits the retries to one service to a share of its calls.
 *
 * <p>Each call that its target has answered, even with a refusal, adds a fraction of a token, and
 * each retry takes a token. Retries therefore stop soon after answers stop. A call that is repeated
 * because of a retry further up the call chain takes a token as well.
 */
public final class RetryBudget {
  /** Tokens added per answered call; three quarters of the retries that the users' rules allow. */
  static final double TOKENS_PER_ANSWER = 0.15;

  /**
   * Upper bound of the tokens that all nodes together may accumulate; less than the fixed number of
   * retries that the users' rules allow for one service in ten seconds.
   */
  static final double MAX_TOTAL_TOKENS = 40;

  /** Upper bound of the tokens of one node; limits its burst while it knows few other nodes. */
  static final double MAX_NODE_TOKENS = 5;

  /** Share of the tokens beyond the first that is reserved for critical calls. */
  private static final double IMPORTANT_RESERVE = 0.25;

  /** Share of the tokens beyond the first that is reserved for important and critical calls. */
  private static final double NORMAL_RESERVE = 0.5;

  private final IntSupplier nodes;
  private double tokens;

  /**
   * Creates a full budget of one node.
   *
   * @param nodes returns the number of nodes that share the tokens
   */
  public RetryBudget(IntSupplier nodes) {
    this.nodes = nodes;
    tokens = maxTokens();
  }

  /** Records the answer to the first attempt of a call. */
  public void recordAnswer() {
    tokens = Math.min(maxTokens(), tokens + TOKENS_PER_ANSWER);
  }

  /**
   * Returns whether a retry is allowed. Part of the tokens is reserved for more important calls:
   * when targets refuse most calls, the few retries then complete some call chains instead of none.
   */
  public boolean allows(int importance) {
    return tokens >= 1 + reserve(importance) * (maxTokens() - 1);
  }

  private double maxTokens() {
    return Math.max(1, Math.min(MAX_NODE_TOKENS, MAX_TOTAL_TOKENS / Math.max(1, nodes.getAsInt())));
  }

  private static double reserve(int importance) {
    if (importance >= CallPolicy.CRITICAL_IMPORTANCE) {
      return 0;
    }
    return importance >= CallPolicy.IMPORTANT_IMPORTANCE ? IMPORTANT_RESERVE : NORMAL_RESERVE;
  }

  /**
   * Takes the token of one retry.
   *
   * @throws IllegalStateException if less than one token is left
   */
  public void spend() {
    if (tokens < 1) {
      throw new IllegalStateException("the retry budget is empty");
    }
    tokens--;
  }

  /**
   * Takes a token for a call that is repeated because of a retry further up the call chain. Such a
   * call is never refused here, so the number of tokens may become negative.
   */
  public void recordRepeatedCall() {
    tokens = Math.max(-MAX_NODE_TOKENS, tokens - 1);
  }

  /** Returns the number of tokens; negative after calls that were repeated without a token. */
  public double tokens() {
    return tokens;
  }
}
