package dev.arbutusroad.core.settings;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;

/**
 * The addresses that a node binds.
 *
 * @param caller calls of clients and other nodes (TCP)
 * @param exit calls and announcements of the local target (TCP)
 * @param peer control messages of other nodes (UDP and TCP)
 * @param admin health, metrics and dumps for operators (TCP)
 * @param announcements announcements of the local target, if not received on {@code exit} (TCP)
 * @param readiness checks of whether the node accepts new callers (TCP)
 */
public record Listeners(
    InetSocketAddress caller,
    InetSocketAddress exit,
    InetSocketAddress peer,
    InetSocketAddress admin,
    Optional<InetSocketAddress> announcements,
    Optional<InetSocketAddress> readiness) {
  public Listeners {
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(exit, "exit");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(admin, "admin");
    Objects.requireNonNull(announcements, "announcements");
    Objects.requireNonNull(readiness, "readiness");
  }

  /** Creates the listeners that every deployment has. */
  public Listeners(
      InetSocketAddress caller,
      InetSocketAddress exit,
      InetSocketAddress peer,
      InetSocketAddress admin) {
    this(caller, exit, peer, admin, Optional.empty(), Optional.empty());
  }
}
