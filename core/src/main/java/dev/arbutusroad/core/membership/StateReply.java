package dev.arbutusroad.core.membership;

import java.util.List;
import java.util.Objects;

/**
 * Answers a full state exchange with the buckets whose hashes differ.
 *
 * @param self the member that answers
 * @param buckets the numbers of the differing buckets
 * @param members the members in these buckets, dead ones included
 * @param configuration the configuration version of the member that answers
 * @param fingerprints all fingerprints that it knows
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
