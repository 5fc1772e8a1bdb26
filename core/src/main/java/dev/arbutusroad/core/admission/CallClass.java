package dev.arbutusroad.core.admission;

import java.util.Objects;

/**
 * A class of calls for which admission levels are tracked together: calls of the same policy kind
 * and importance, which use the same services.
 *
 * @param kind the policy kind of the calls
 * @param importance 0 to 100
 */
public record CallClass(String kind, int importance) {
  public CallClass {
    Objects.requireNonNull(kind, "kind");
  }

  @Override
  public String toString() {
    return kind + "/" + importance;
  }
}
