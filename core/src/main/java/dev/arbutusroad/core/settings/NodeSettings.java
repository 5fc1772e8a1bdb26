package dev.arbutusroad.core.settings;

import dev.arbutusroad.core.net.Addresses;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The settings of a node, as read from its settings file.
 *
 * @param id the name of the node, unique in the installation
 * @param host the IP address at which other hosts reach this host
 * @param region the region of the host
 * @param failureDomain the failure domain of the host
 * @param service the only service that the target may announce; empty if any is allowed
 * @param target the address of the local target, if it is known before the target announces itself
 * @param listeners the addresses that the node binds
 * @param platform the address of the table service and the object store
 * @param sharedSecret the secret that all nodes of the installation share
 * @param seeds the peer addresses to contact first if the store is unavailable
 * @param deployment the deployment that the node runs in
 * @param limits time limits, sizes and intervals
 */
public record NodeSettings(
    String id,
    String host,
    String region,
    String failureDomain,
    Optional<String> service,
    Optional<InetSocketAddress> target,
    Listeners listeners,
    InetSocketAddress platform,
    SharedSecret sharedSecret,
    List<InetSocketAddress> seeds,
    DeploymentKind deployment,
    Limits limits) {
  public NodeSettings {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(listeners, "listeners");
    Objects.requireNonNull(platform, "platform");
    Objects.requireNonNull(sharedSecret, "sharedSecret");
    Objects.requireNonNull(deployment, "deployment");
    Objects.requireNonNull(limits, "limits");
    seeds = List.copyOf(seeds);
  }

  /** Returns the address at which other nodes and clients reach the caller listener. */
  public InetSocketAddress advertisedCaller() {
    return Addresses.of(host, listeners.caller().getPort());
  }

  /** Returns the address at which other nodes reach the peer listener. */
  public InetSocketAddress advertisedPeer() {
    return Addresses.of(host, listeners.peer().getPort());
  }
}
