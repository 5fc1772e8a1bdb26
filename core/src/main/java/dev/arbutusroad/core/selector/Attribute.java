package dev.arbutusroad.core.selector;

import dev.arbutusroad.core.label.CallAttributes;
import java.util.List;

/** Reads one attribute of a call: a built-in attribute or a label. */
@FunctionalInterface
public interface Attribute {
  String SERVICE = "service";
  String METHOD = "method";
  String PATH = "path";
  String CALLER = "caller";

  /** The names of the built-in attributes, which every call has. No label may have such a name. */
  List<String> BUILT_INS = List.of(SERVICE, METHOD, PATH, CALLER);

  /** Returns the value, or null if the call has none. */
  String value(CallAttributes call);

  /** Returns the built-in attribute with this name, or else the label with this name. */
  static Attribute named(String name) {
    return switch (name) {
      case SERVICE -> CallAttributes::service;
      case METHOD -> CallAttributes::method;
      case PATH -> CallAttributes::path;
      case CALLER -> CallAttributes::caller;
      default -> call -> call.labels().value(name).orElse(null);
    };
  }

  /** Returns whether the name is that of a built-in attribute. */
  static boolean isBuiltIn(String name) {
    return BUILT_INS.contains(name);
  }
}
