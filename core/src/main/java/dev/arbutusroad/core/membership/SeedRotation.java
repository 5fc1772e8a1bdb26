package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Returns the known seed addresses in round-robin order. */
final class SeedRotation {
  private final List<InetSocketAddress> fromSettings;
  private List<InetSocketAddress> seeds;
  private int position;

  SeedRotation(List<InetSocketAddress> fromSettings) {
    this.fromSettings = List.copyOf(fromSettings);
    seeds = this.fromSettings;
  }

  /** Replaces the addresses that were read from the table. */
  void replaceTableSeeds(List<InetSocketAddress> addresses) {
    seeds = Stream.concat(fromSettings.stream(), addresses.stream()).distinct().toList();
  }

  /** Returns the next seed that is not among the excluded addresses. */
  Optional<InetSocketAddress> next(Set<InetSocketAddress> excluded) {
    for (int attempts = 0; attempts < seeds.size(); attempts++) {
      position = (position + 1) % seeds.size();
      if (!excluded.contains(seeds.get(position))) {
        return Optional.of(seeds.get(position));
      }
    }
    return Optional.empty();
  }
}
