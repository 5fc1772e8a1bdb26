package dev.arbutusroad.core.retry;

import dev.arbutusroad.core.config.CallPolicy;

/**
 * Limits the retries to one service to a share of its successes.
 *
 * <p>Successes deposit tokens and retries take them, so that retries end soon after successes do.
 */
public final class RetryBudget {
  /** Retries per success. */
  static final double SHARE = 0.1;

  /**
   * Tokens of all nodes together before there are successes; less than the fixed number of retries
   * that the users' rules leave to one service in ten seconds.
   */
  private static final double INITIAL_TOKENS_OF_ALL = 40;

  /**
   * Bounds what all nodes together may retry in one burst: a node saves up the successes of the
   * last 50 calls, and a restart gains it nothing.
   */
  static final double MAX_TOKENS = 5;

  /** Tokens that important calls leave to critical ones. */
  private static final double IMPORTANT_RESERVE = 0.5;

  /** Tokens that all other calls leave to important and critical ones. */
  private static final double NORMAL_RESERVE = 1.5;

  private double tokens;

  /** The budget of one of a number of nodes, which share the initial tokens. */
  public RetryBudget(int nodes) {
    tokens = Math.max(1, Math.min(MAX_TOKENS, INITIAL_TOKENS_OF_ALL / Math.max(1, nodes)));
  }

  /** The budget of a lone node. */
  public RetryBudget() {
    this(1);
  }

  /** Counts a success. */
  public void succeeded() {
    tokens = Math.min(MAX_TOKENS, tokens + SHARE);
  }

  /**
   * Whether a retry is allowed. Less important calls leave a reserve: where targets refuse most
   * calls, the few retries complete some chains of calls instead of none.
   */
  public boolean allows(int importance) {
    return tokens >= 1 + reserve(importance);
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

  /** The number of retries that are allowed now. */
  public double tokens() {
    return tokens;
  }
}
