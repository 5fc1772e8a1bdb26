package dev.arbutusroad.core.label;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** An immutable map from label names to values. */
public final class Labels {
  private static final Labels EMPTY = new Labels(new TreeMap<>());

  private final SortedMap<String, String> values;

  private Labels(SortedMap<String, String> values) {
    this.values = values;
  }

  /** Returns an empty map. */
  public static Labels empty() {
    return EMPTY;
  }

  /** Returns the given labels; copies the map. */
  public static Labels of(Map<String, String> values) {
    return values.isEmpty() ? EMPTY : new Labels(new TreeMap<>(values));
  }

  /** Returns these labels merged with {@code other}, whose values take precedence. */
  public Labels with(Labels other) {
    if (other.values.isEmpty()) {
      return this;
    }
    if (values.isEmpty()) {
      return other;
    }
    SortedMap<String, String> merged = new TreeMap<>(values);
    merged.putAll(other.values);
    return new Labels(merged);
  }

  /** Returns whether there are no labels. */
  public boolean isEmpty() {
    return values.isEmpty();
  }

  /** Returns the value of a label, if present. */
  public Optional<String> value(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /** Returns a copy as a map, sorted by name. */
  public SortedMap<String, String> asMap() {
    return new TreeMap<>(values);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Labels that && values.equals(that.values);
  }

  @Override
  public int hashCode() {
    return values.hashCode();
  }

  @Override
  public String toString() {
    return values.toString();
  }
}
