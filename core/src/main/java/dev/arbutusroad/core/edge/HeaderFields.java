package dev.arbutusroad.core.edge;

import java.util.Optional;

/** The header fields of a request or an answer. Names are compared without regard to case. */
public interface HeaderFields {
  /** The first value of a field. */
  Optional<String> first(String name);

  /** Replaces a field. */
  void set(String name, String value);

  /** Removes a field. */
  void remove(String name);
}
