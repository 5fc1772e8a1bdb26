package dev.arbutusroad.core.membership;

import java.util.List;
import java.util.Objects;

/**
 * The reply of a state exchange, with the contents of the buckets whose hashes differ.
 *
 * @param self the record of the replying member
 * @param buckets the numbers of the differing buckets
 * @param members the members in these buckets, including dead ones
 * @param configuration the configuration version that the replying member advertises
 * @param fingerprints all fingerprint reports that it holds
 */
public record StateReply(
    Member self,
    List<Integer> buckets,
    List<Member> members,
    AdvertisedConfiguration configuration,
    List<FingerprintReport> fingerprints) {
  public StateReply {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(configuration, "configuration");
    buckets = List.copyOf(buckets);
    members = List.copyOf(members);
    fingerprints = List.copyOf(fingerprints);
  }
}
