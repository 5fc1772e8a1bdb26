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
 * @param counter increases with each datagram of the sender, for replay protection
 * @param sequence matches an acknowledgement to its probe; 0 for kinds without one
 * @param target the member that is probed or that acknowledges; empty for kinds without one
 * @param targetAddress the address of the target of an indirect probe
 * @param configuration the configuration version that the sender advertises
 * @param members changed member records
 * @param fingerprints changed reports about request fingerprints
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
