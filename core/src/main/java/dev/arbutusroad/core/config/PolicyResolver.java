package dev.arbutusroad.core.config;

import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.route.RouteTable;
import java.util.Optional;

/** Resolves the policies of calls under one configuration version. */
public interface PolicyResolver {
  /** Returns the configuration version of this resolver; versions start at 1. */
  long version();

  /** Returns the policy of a call. A call that no rule matches gets the defaults. */
  CallPolicy resolve(CallAttributes call);

  /** Returns the routes of calls; empty if callers name the destination service themselves. */
  default Optional<RouteTable> routes() {
    return Optional.empty();
  }

  /** Returns the health check path of a service's targets; empty if it is not known. */
  default Optional<String> healthPath(String service) {
    return Optional.empty();
  }
}
