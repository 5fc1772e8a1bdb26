package dev.arbutusroad.core.config;

import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.route.RouteTable;
import java.util.Optional;

/** Decides the policy of a call under one configuration version. */
public interface PolicyResolver {
  /** The configuration version that this resolver stands for; versions start at 1. */
  long version();

  /** The policy of a call. Total: a call that no rule matches gets the defaults. */
  CallPolicy resolve(CallAttributes call);

  /** Where calls go; empty if callers name their destination service themselves. */
  default Optional<RouteTable> routes() {
    return Optional.empty();
  }

  /** The path at which targets of a service answer a health check; empty if it is not known. */
  default Optional<String> healthPath(String service) {
    return Optional.empty();
  }
}
