package dev.arbutusroad.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a call: the route of its host with the longest matching path prefix. */
public final class RouteTable {
  private final Map<String, Map<String, Route>> byHost = new HashMap<>();
  private final int size;

  public RouteTable(Collection<Route> routes) {
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
    }
    size = routes.size();
  }

  /**
   * Finds the route of a call; empty if no route matches.
   *
   * @param host the value of the Host header, with or without a port
   * @param path the path without the query
   */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> routes = byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
    if (routes == null) {
      return Optional.empty();
    }
    // Every prefix ends with a slash, so a matching prefix ends at a slash of the path.
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = routes.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the number of routes. */
  public int size() {
    return size;
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 || host.indexOf(']') > colon ? host : host.substring(0, colon);
  }
}
