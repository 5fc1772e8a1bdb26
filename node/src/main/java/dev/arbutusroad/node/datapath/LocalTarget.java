package dev.arbutusroad.node.datapath;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The target beside this node, as described by its announcement.
 *
 * @param instance the id of the target; empty if it has none
 * @param service the service that it belongs to
 * @param address the address at which it takes calls
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

  /** Creates a target without an id. */
  public LocalTarget(
      String service,
      InetSocketAddress address,
      Optional<String> healthPath,
      Optional<String> loadPath) {
    this("", service, address, healthPath, loadPath);
  }
}
