package dev.arbutusroad.core.membership;

import java.util.List;
import java.util.Objects;

/**
 * Opens a full state exchange.
 *
 * @param self the member that asks
 * @param digests one hash for each bucket of member ids
 * @param configuration the configuration version of the member that asks
 * @param fingerprints all fingerprints that it knows
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
