package dev.arbutusroad.core.label;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** An immutable set of label names with their values. */
public final class Labels {
  private static final Labels EMPTY = new Labels(new TreeMap<>());

  private final SortedMap<String, String> values;

  private Labels(SortedMap<String, String> values) {
    this.values = values;
  }

  /** No labels. */
  public static Labels empty() {
    return EMPTY;
  }

  /** The given labels; the map is copied. */
  public static Labels of(Map<String, String> values) {
    return values.isEmpty() ? EMPTY : new Labels(new TreeMap<>(values));
  }

  /** These labels with {@code other} added; a value of {@code other} replaces one of these. */
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

  /** Whether there is no label. */
  public boolean isEmpty() {
    return values.isEmpty();
  }

  /** The value of a label, if it is present. */
  public Optional<String> value(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /** A copy as a map, sorted by name. */
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
