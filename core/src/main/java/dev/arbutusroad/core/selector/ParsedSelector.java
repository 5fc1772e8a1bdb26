package dev.arbutusroad.core.selector;

import dev.arbutusroad.core.label.CallAttributes;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** A selector in canonical form: its requirements sorted and without duplicates. */
public final class ParsedSelector implements Selector {
  private final List<Requirement> requirements;
  private final Selector condition;
  private final String text;

  /** Creates a selector that matches the calls that meet all requirements. */
  public ParsedSelector(List<Requirement> requirements) {
    this.requirements =
        requirements.stream()
            .distinct()
            .sorted(Comparator.comparing(Requirement::toString))
            .toList();
    this.condition =
        Selectors.allOf(this.requirements.stream().map(Requirement::toSelector).toList());
    this.text =
        this.requirements.stream().map(Requirement::toString).collect(Collectors.joining(", "));
  }

  @Override
  public boolean matches(CallAttributes call) {
    return condition.matches(call);
  }

  /** Returns the requirements, sorted by their text. */
  public List<Requirement> requirements() {
    return requirements;
  }

  /** Returns the names of the attributes that the requirements read. */
  public Set<String> names() {
    return requirements.stream().map(Requirement::name).collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the values that one attribute may have on a matching call; empty unless an {@code =} or
   * {@code in} requirement lists them.
   */
  public Optional<Set<String>> listedValues(String name) {
    return AttributeConstraint.of(name, requirements).listedValues();
  }

  /** Returns why no call can match; empty if the requirements do not contradict each other. */
  public Optional<String> contradiction() {
    return names().stream()
        .sorted()
        .map(name -> AttributeConstraint.of(name, requirements).contradiction())
        .flatMap(Optional::stream)
        .findFirst();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ParsedSelector that && requirements.equals(that.requirements);
  }

  @Override
  public int hashCode() {
    return requirements.hashCode();
  }

  /** Returns the canonical text. */
  @Override
  public String toString() {
    return text;
  }
}
