package dev.arbutusroad.core.selector;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The combination of all requirements of a selector on one attribute. */
final class AttributeConstraint {
  private final String name;
  private Set<String> listed;
  private final Set<String> excluded = new HashSet<>();
  private final List<String> prefixes = new ArrayList<>();
  private boolean mustBePresent;
  private boolean mustBeAbsent;

  private AttributeConstraint(String name) {
    this.name = name;
  }

  static AttributeConstraint of(String name, List<Requirement> requirements) {
    AttributeConstraint constraint = new AttributeConstraint(name);
    for (Requirement requirement : requirements) {
      if (requirement.name().equals(name)) {
        constraint.add(requirement);
      }
    }
    return constraint;
  }

  private void add(Requirement requirement) {
    switch (requirement.operator()) {
      case EQUAL, IN -> restrictTo(requirement.values());
      case NOT_EQUAL, NOT_IN -> excluded.addAll(requirement.values());
      case PRESENT -> mustBePresent = true;
      case ABSENT -> mustBeAbsent = true;
      case PREFIX -> {
        mustBePresent = true;
        prefixes.addAll(requirement.values());
      }
    }
  }

  private void restrictTo(List<String> values) {
    mustBePresent = true;
    if (listed == null) {
      listed = new TreeSet<>(values);
    } else {
      listed.retainAll(values);
    }
  }

  /**
   * Returns the listed values that also meet the other requirements; empty if no requirement lists
   * values.
   */
  Optional<Set<String>> listedValues() {
    if (listed == null) {
      return Optional.empty();
    }
    Set<String> remaining = new TreeSet<>(listed);
    remaining.removeIf(value -> excluded.contains(value) || !startsWithAll(value));
    return Optional.of(remaining);
  }

  private boolean startsWithAll(String value) {
    return prefixes.stream().allMatch(value::startsWith);
  }

  /** Returns why no call can meet all requirements; empty if they do not contradict each other. */
  Optional<String> contradiction() {
    if (mustBeAbsent && Attribute.isBuiltIn(name)) {
      return Optional.of("every call has a " + name);
    }
    if (mustBeAbsent && mustBePresent) {
      return Optional.of(name + " can't be both absent and present");
    }
    Optional<Set<String>> remaining = listedValues();
    if (remaining.isPresent() && remaining.get().isEmpty()) {
      return Optional.of("no value of " + name + " meets all requirements");
    }
    if (!prefixesAreCompatible()) {
      return Optional.of("no value of " + name + " starts with all of " + prefixes);
    }
    return remaining.isPresent() ? violatedByValues(remaining.get()) : violatedByPrefix();
  }

  private boolean prefixesAreCompatible() {
    return prefixes.stream()
        .allMatch(a -> prefixes.stream().allMatch(b -> a.startsWith(b) || b.startsWith(a)));
  }

  private Optional<String> violatedByValues(Set<String> values) {
    return values.stream().allMatch(value -> isImpossible(value, value.isEmpty()))
        ? Optional.of(builtInRule())
        : Optional.empty();
  }

  private Optional<String> violatedByPrefix() {
    return prefixes.stream().anyMatch(prefix -> isImpossible(prefix, false))
        ? Optional.of(builtInRule())
        : Optional.empty();
  }

  /** Returns whether no call can have this value or prefix of a built-in attribute. */
  private boolean isImpossible(String value, boolean isEmptyValue) {
    return switch (name) {
      case Attribute.METHOD -> isEmptyValue || value.chars().anyMatch(c -> c < 'A' || c > 'Z');
      case Attribute.PATH -> isEmptyValue || !(value.isEmpty() || value.startsWith("/"));
      default -> false;
    };
  }

  private String builtInRule() {
    return name.equals(Attribute.METHOD)
        ? "a method consists of upper-case letters"
        : "a path starts with /";
  }
}
