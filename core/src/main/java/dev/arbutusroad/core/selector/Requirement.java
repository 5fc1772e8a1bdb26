package dev.arbutusroad.core.selector;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * One comparison of a selector.
 *
 * @param name the name of the built-in attribute or label
 * @param operator the comparison
 * @param values the values to compare with, sorted and without duplicates
 */
public record Requirement(String name, Operator operator, List<String> values) {
  public Requirement {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(operator, "operator");
    values = List.copyOf(new TreeSet<>(values));
    int count = values.size();
    boolean validCount =
        switch (operator) {
          case EQUAL, NOT_EQUAL, PREFIX -> count == 1;
          case IN, NOT_IN -> count >= 1;
          case PRESENT, ABSENT -> count == 0;
        };
    if (!validCount) {
      throw new IllegalArgumentException(operator + " can't have " + count + " values");
    }
  }

  /** Returns the condition that this requirement states. */
  public Selector toSelector() {
    Attribute attribute = Attribute.named(name);
    return switch (operator) {
      case EQUAL -> Selectors.equal(attribute, values.get(0));
      case NOT_EQUAL -> Selectors.notEqual(attribute, values.get(0));
      case IN -> Selectors.in(attribute, Set.copyOf(values));
      case NOT_IN -> Selectors.notIn(attribute, Set.copyOf(values));
      case PRESENT -> Selectors.present(attribute);
      case ABSENT -> Selectors.absent(attribute);
      case PREFIX -> Selectors.prefix(attribute, values.get(0));
    };
  }

  /** Returns the requirement in the selector grammar. */
  @Override
  public String toString() {
    return switch (operator) {
      case EQUAL -> name + " = " + quoteIfNeeded(values.get(0));
      case NOT_EQUAL -> name + " != " + quoteIfNeeded(values.get(0));
      case IN -> name + " in " + quotedList();
      case NOT_IN -> name + " notin " + quotedList();
      case PRESENT -> name;
      case ABSENT -> "!" + name;
      case PREFIX -> name + " ^= " + quoteIfNeeded(values.get(0));
    };
  }

  private String quotedList() {
    return values.stream()
        .map(Requirement::quoteIfNeeded)
        .collect(Collectors.joining(", ", "(", ")"));
  }

  private static String quoteIfNeeded(String value) {
    boolean bare = !value.isEmpty() && value.chars().allMatch(SelectorParser::isBareCharacter);
    return bare ? value : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }
}
