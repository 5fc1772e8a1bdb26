package dev.arbutusroad.core.config;

import dev.arbutusroad.core.selector.ParsedSelector;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * A rule that sets properties of the calls matched by a selector.
 *
 * @param name the unique name of the rule
 * @param select selects the calls
 * @param precedence the matching rule with the highest precedence wins
 * @param values the values of the properties that it sets; 0 or 1 for a boolean
 */
public record PolicyRule(
    String name, ParsedSelector select, int precedence, Map<PolicyProperty, Long> values) {
  public static final int MIN_PRECEDENCE = 0;
  public static final int MAX_PRECEDENCE = 1_000;

  /**
   * Orders matching rules, the winner first: by precedence, then by the number of requirements in
   * the selector, then by name.
   */
  public static final Comparator<PolicyRule> WINNER_FIRST =
      Comparator.comparingInt(PolicyRule::precedence)
          .reversed()
          .thenComparing(rule -> -rule.select().requirements().size())
          .thenComparing(PolicyRule::name);

  public PolicyRule {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(select, "select");
    values = Map.copyOf(values);
    if (precedence < MIN_PRECEDENCE || precedence > MAX_PRECEDENCE) {
      throw new IllegalArgumentException("precedence must be 0 to 1000, not " + precedence);
    }
  }

  @Override
  public String toString() {
    return "select %s precedence %d set %s".formatted(select, precedence, new TreeMap<>(values));
  }
}
