package dev.arbutusroad.cli;

import dev.arbutusroad.core.edge.AnnouncementProtocol;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.edge.Deployment;
import dev.arbutusroad.core.store.ConfigurationStore;
import dev.arbutusroad.core.store.PlatformClientSettings;
import dev.arbutusroad.core.store.PlatformMetrics;
import dev.arbutusroad.core.store.PlatformServices;
import dev.arbutusroad.core.store.VersionSource;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.node.datapath.ArbutusProtocol;
import dev.arbutusroad.platform.PlatformDeployment;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Deployment with the product's own call interface and configuration versions. */
final class ArbutusDeployment implements Deployment {
  /** Provides the store, which both deployments share. */
  private final Deployment platform = new PlatformDeployment();

  @Override
  public PlatformServices open(
      InetSocketAddress address,
      PlatformClientSettings settings,
      PlatformMetrics metrics,
      Ticker ticker) {
    return platform.open(address, settings, metrics, ticker);
  }

  @Override
  public VersionSource versions(PlatformServices platform, RandomGenerator random) {
    return new ConfigurationStore(platform, platform.objects(), random);
  }

  @Override
  public Optional<String> configurationTable() {
    return Optional.empty();
  }

  @Override
  public CallProtocol calls() {
    return new ArbutusProtocol();
  }

  @Override
  public Optional<AnnouncementProtocol> announcements() {
    return Optional.empty();
  }
}
