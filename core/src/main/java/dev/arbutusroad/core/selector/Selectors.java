package dev.arbutusroad.core.selector;

import java.util.List;
import java.util.Set;

/** Factories of composable conditions on calls. */
public final class Selectors {
  private Selectors() {}

  /** Returns a selector of all calls. */
  public static Selector everything() {
    return call -> true;
  }

  /** Returns a selector of the calls whose attribute is present and equal to the value. */
  public static Selector equal(Attribute attribute, String value) {
    return call -> value.equals(attribute.value(call));
  }

  /** Returns a selector of the calls whose attribute is absent or differs from the value. */
  public static Selector notEqual(Attribute attribute, String value) {
    return not(equal(attribute, value));
  }

  /** Returns a selector of the calls whose attribute is present and one of the values. */
  public static Selector in(Attribute attribute, Set<String> values) {
    Set<String> copy = Set.copyOf(values);
    return call -> {
      String value = attribute.value(call);
      return value != null && copy.contains(value);
    };
  }

  /** Returns a selector of the calls whose attribute is absent or none of the values. */
  public static Selector notIn(Attribute attribute, Set<String> values) {
    return not(in(attribute, values));
  }

  /** Returns a selector of the calls that have the attribute. */
  public static Selector present(Attribute attribute) {
    return call -> attribute.value(call) != null;
  }

  /** Returns a selector of the calls that lack the attribute. */
  public static Selector absent(Attribute attribute) {
    return not(present(attribute));
  }

  /** Returns a selector of the calls whose attribute is present and starts with the prefix. */
  public static Selector prefix(Attribute attribute, String prefix) {
    return call -> {
      String value = attribute.value(call);
      return value != null && value.startsWith(prefix);
    };
  }

  /** Returns a selector of the calls that the given selector does not match. */
  public static Selector not(Selector selector) {
    return call -> !selector.matches(call);
  }

  /** Returns a selector of the calls that all given selectors match. */
  public static Selector allOf(List<Selector> selectors) {
    Selector[] all = selectors.toArray(Selector[]::new);
    return call -> {
      for (Selector selector : all) {
        if (!selector.matches(call)) {
          return false;
        }
      }
      return true;
    };
  }
}
