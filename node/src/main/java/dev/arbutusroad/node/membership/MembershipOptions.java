package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.settings.SharedSecret;
import dev.arbutusroad.core.store.TableService;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What the membership duty is started with.
 *
 * @param self this node; a peer port of 0 is replaced by the bound one, the caller port must be set
 * @param bindAddress where datagrams and connections of peers are accepted
 * @param seeds peers to join through when the table has none
 * @param secret the shared secret of the installation
 * @param table where seed rows are read and written
 */
public record MembershipOptions(
    Member self,
    InetSocketAddress bindAddress,
    List<InetSocketAddress> seeds,
    SharedSecret secret,
    Optional<TableService> table) {
  public MembershipOptions {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(bindAddress, "bindAddress");
    Objects.requireNonNull(secret, "secret");
    Objects.requireNonNull(table, "table");
    if (self.callerAddress().isUnresolved() || self.callerAddress().getPort() == 0) {
      throw new IllegalArgumentException(
          "peers can't send calls to " + self.callerAddress() + ": no IP address or port");
    }
    seeds = List.copyOf(seeds);
  }
}
