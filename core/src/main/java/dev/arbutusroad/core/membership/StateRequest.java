package dev.arbutusroad.core.membership;

import java.util.List;
import java.util.Objects;

/**
 * The request that opens a state exchange.
 *
 * @param self the record of the requesting member
 * @param digests one hash per bucket of member ids
 * @param configuration the configuration version that the requesting member advertises
 * @param fingerprints all fingerprint reports that it holds
 */
public record StateRequest(
    Member self,
    List<Long> digests,
    AdvertisedConfiguration configuration,
    List<FingerprintReport> fingerprints) {
  public StateRequest {
    Objects.requireNonNull(self, "self");
    Objects.requireNonNull(configuration, "configuration");
    digests = List.copyOf(digests);
    fingerprints = List.copyOf(fingerprints);
  }
}
