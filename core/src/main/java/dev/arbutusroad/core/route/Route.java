package dev.arbutusroad.core.route;

import dev.arbutusroad.core.label.Labels;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Assigns the calls to a host whose path starts with a prefix to destination services.
 *
 * @param name the unique name of the route
 * @param host the requested host without a port, in lower case
 * @param prefix the start of the path; begins and ends with a slash
 * @param destinations the services that share the calls; at least one with a weight above 0
 * @param labels the labels that the route attaches to its calls
 */
public record Route(
    String name, String host, String prefix, List<Destination> destinations, Labels labels) {
  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(labels, "labels");
    destinations = List.copyOf(destinations);
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new IllegalArgumentException("prefix must begin and end with a slash: " + prefix);
    }
    if (destinations.stream().noneMatch(destination -> destination.weight() > 0)) {
      throw new IllegalArgumentException(
          "route " + name + " has no destination with a weight above 0");
    }
  }

  /** Selects the service of a call at random, in proportion to the weights. */
  public String draw(RandomGenerator random) {
    if (destinations.size() == 1) {
      return destinations.get(0).service();
    }
    double total = destinations.stream().mapToDouble(Destination::weight).sum();
    double remaining = random.nextDouble() * total;
    String service = "";
    for (Destination destination : destinations) {
      if (destination.weight() > 0) {
        service = destination.service();
        remaining -= destination.weight();
        if (remaining < 0) {
          break;
        }
      }
    }
    return service;
  }
}
