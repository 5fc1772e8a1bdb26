package dev.arbutusroad.core.edge;

import dev.arbutusroad.core.store.PlatformClientSettings;
import dev.arbutusroad.core.store.PlatformMetrics;
import dev.arbutusroad.core.store.PlatformServices;
import dev.arbutusroad.core.store.VersionSource;
import dev.arbutusroad.core.time.Ticker;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The parts of a node that depend on its deployment: names, formats and protocols. */
public interface Deployment {
  /** Opens a client of the platform's store. */
  PlatformServices open(
      InetSocketAddress address,
      PlatformClientSettings settings,
      PlatformMetrics metrics,
      Ticker ticker);

  /** Returns the source of the configuration in force. */
  VersionSource versions(PlatformServices platform, RandomGenerator random);

  /** Returns the table whose feed shows configuration changes; empty if nodes must poll. */
  Optional<String> configurationTable();

  /** Returns the protocol of calls between nodes, callers and targets. */
  CallProtocol calls();

  /** Returns the protocol of the announcement listener; empty if there is no such listener. */
  Optional<AnnouncementProtocol> announcements();
}
