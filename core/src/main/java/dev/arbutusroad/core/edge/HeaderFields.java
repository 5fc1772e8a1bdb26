package dev.arbutusroad.core.edge;

import java.util.Optional;

/** The header fields of a request or an answer. Field names are case-insensitive. */
public interface HeaderFields {
  /** Returns the first value of a field. */
  Optional<String> first(String name);

  /** Sets a field and replaces all its values. */
  void set(String name, String value);

  /** Removes all values of a field. */
  void remove(String name);
}
