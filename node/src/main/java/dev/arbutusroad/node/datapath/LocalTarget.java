package dev.arbutusroad.node.datapath;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The target beside this node, as it announced itself.
 *
 * @param instance the id under which it announced itself; empty if it has none
 * @param service the service it belongs to
 * @param address where it takes calls
 * @param healthPath path of its health endpoint, used as a hint only
 * @param loadPath path of its load endpoint, used as a hint only
 */
public record LocalTarget(
    String instance,
    String service,
    InetSocketAddress address,
    Optional<String> healthPath,
    Optional<String> loadPath) {
  public LocalTarget {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(healthPath, "healthPath");
    Objects.requireNonNull(loadPath, "loadPath");
  }

  /** A target without an id. */
  public LocalTarget(
      String service,
      InetSocketAddress address,
      Optional<String> healthPath,
      Optional<String> loadPath) {
    this("", service, address, healthPath, loadPath);
  }
}
