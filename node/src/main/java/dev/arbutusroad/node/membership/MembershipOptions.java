package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.settings.SharedSecret;
import dev.arbutusroad.core.store.TableService;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The options of the membership agent.
 *
 * @param self the record of this node; a peer port of 0 is replaced by the bound port, the caller
 *     port must be set
 * @param bindAddress the address on which datagrams and connections of peers are accepted
 * @param seeds the addresses of peers to join through if the table has no seed rows
 * @param secret the shared secret of the installation
 * @param table the table service that holds the seed rows, or empty to use {@code seeds} only
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
          "caller address "
              + self.callerAddress()
              + " has no IP address or port: peers cannot send calls to it");
    }
    seeds = List.copyOf(seeds);
  }
}
