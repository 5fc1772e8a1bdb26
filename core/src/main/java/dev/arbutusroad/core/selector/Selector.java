package dev.arbutusroad.core.selector;

import dev.arbutusroad.core.label.CallAttributes;

/** A condition on a call. */
@FunctionalInterface
public interface Selector {
  /** Returns whether the call meets the condition. */
  boolean matches(CallAttributes call);
}
