package dev.arbutusroad.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntSupplier;

/** Holds the retry budget of each service that a node calls. */
public final class RetryBudgets {
  /**
   * Nine times the number of services that the system is designed for; beyond it the least recently
   * used budget is evicted.
   */
  private static final int MAX_SERVICES = 1_024;

  private final Map<String, RetryBudget> budgets =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RetryBudget> eldest) {
          return size() > MAX_SERVICES;
        }
      };

  private final IntSupplier nodes;

  /**
   * Creates an empty collection; a budget is created when it is first asked for.
   *
   * @param nodes returns the number of nodes that share the retries of a service
   */
  public RetryBudgets(IntSupplier nodes) {
    this.nodes = nodes;
  }

  /** Returns the budget of a service. */
  public RetryBudget budget(String service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget(nodes));
  }

  /** Returns the number of tokens by service, for state dumps and metrics. */
  public SortedMap<String, Double> snapshot() {
    SortedMap<String, Double> tokens = new TreeMap<>();
    budgets.forEach((service, budget) -> tokens.put(service, budget.tokens()));
    return tokens;
  }
}
