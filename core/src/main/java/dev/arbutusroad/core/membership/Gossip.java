package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A gossip datagram.
 *
 * @param kind its purpose
 * @param sender the id of the member that sends it
 * @param counter grows with each datagram of the sender
 * @param sequence ties an acknowledgement to its probe; 0 when the kind has none
 * @param target the member that is probed or that acknowledges; empty when the kind has none
 * @param targetAddress where an indirect probe is sent on to
 * @param configuration the sender's configuration version
 * @param members changes of members
 * @param fingerprints changes of request fingerprints
 */
public record Gossip(
    GossipKind kind,
    String sender,
    long counter,
    long sequence,
    String target,
    Optional<InetSocketAddress> targetAddress,
    AdvertisedConfiguration configuration,
    List<Member> members,
    List<FingerprintReport> fingerprints) {
  public Gossip {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(sender, "sender");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(targetAddress, "targetAddress");
    Objects.requireNonNull(configuration, "configuration");
    members = List.copyOf(members);
    fingerprints = List.copyOf(fingerprints);
  }
}
