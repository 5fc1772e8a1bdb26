package dev.arbutusroad.core.route;

import java.util.Objects;

/**
 * One of the services that share the calls of a route.
 *
 * @param service the service
 * @param weight its share, relative to the weights of the route's other destinations; at least 0
 */
public record Destination(String service, double weight) {
  public Destination {
    Objects.requireNonNull(service, "service");
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be a number from 0, not " + weight);
    }
  }
}
