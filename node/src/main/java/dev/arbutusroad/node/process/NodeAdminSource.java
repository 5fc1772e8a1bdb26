package dev.arbutusroad.node.process;

import dev.arbutusroad.node.admin.AdminSource;
import dev.arbutusroad.node.claim.ClaimsAgent;
import dev.arbutusroad.node.configuration.ConfigurationAgent;
import dev.arbutusroad.node.datapath.DataPathState;
import dev.arbutusroad.node.membership.MembershipAgent;
import java.util.Optional;
import java.util.function.Supplier;

/** Provides the health and state of a running node to the admin listener. */
final class NodeAdminSource implements AdminSource {
  private final String id;
  private final ConfigurationAgent configuration;
  private final MembershipAgent membership;
  private final Supplier<DataPathState> dataPath;
  private final ClaimsAgent claims;

  NodeAdminSource(
      String id,
      ConfigurationAgent configuration,
      MembershipAgent membership,
      Supplier<DataPathState> dataPath,
      ClaimsAgent claims) {
    this.id = id;
    this.configuration = configuration;
    this.membership = membership;
    this.dataPath = dataPath;
    this.claims = claims;
  }

  @Override
  public Optional<String> unhealthyReason() {
    if (!configuration.isReady()) {
      return Optional.of("no configuration is known that may be used");
    }
    if (membership.isStale()) {
      return Optional.of("the node was paused and its view of the members may be outdated");
    }
    return Optional.empty();
  }

  @Override
  public Object state() {
    return new NodeState(
        id, configuration.status(), membership.dump(), dataPath.get(), claims.counters().values());
  }

  @Override
  public void onConfigurationNotice() {
    configuration.requestPoll();
  }
}
