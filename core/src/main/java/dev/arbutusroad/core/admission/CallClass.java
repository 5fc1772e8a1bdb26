package dev.arbutusroad.core.admission;

import java.util.Objects;

/**
 * Calls that meet the same levels: they use the same services and have the same importance.
 *
 * @param kind the policy kind
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
