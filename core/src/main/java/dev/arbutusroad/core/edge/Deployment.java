package dev.arbutusroad.core.edge;

import dev.arbutusroad.core.store.PlatformClientSettings;
import dev.arbutusroad.core.store.PlatformMetrics;
import dev.arbutusroad.core.store.PlatformServices;
import dev.arbutusroad.core.store.VersionSource;
import dev.arbutusroad.core.time.Ticker;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** What differs between the deployments that a node runs in: names, formats and calls. */
public interface Deployment {
  /** Opens a client of the platform's store. */
  PlatformServices open(
      InetSocketAddress address,
      PlatformClientSettings settings,
      PlatformMetrics metrics,
      Ticker ticker);

  /** Where the configuration in force is read. */
  VersionSource versions(PlatformServices platform, RandomGenerator random);

  /** The table in whose feed changes of the configuration show; empty if nodes have to poll. */
  Optional<String> configurationTable();

  /** How callers and targets state the terms of a call. */
  CallProtocol calls();

  /** How targets announce themselves on a listener of their own, if they do. */
  Optional<AnnouncementProtocol> announcements();
}
