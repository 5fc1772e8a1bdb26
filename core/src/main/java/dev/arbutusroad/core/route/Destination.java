package dev.arbutusroad.core.route;

import java.util.Objects;

/**
 * A service that receives a share of the calls of a route.
 *
 * @param service the service
 * @param weight its share of the calls relative to the weights of the other destinations; at least
 *     0
 */
public record Destination(String service, double weight) {
  public Destination {
    Objects.requireNonNull(service, "service");
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight must be finite and at least 0, not " + weight);
    }
  }
}
