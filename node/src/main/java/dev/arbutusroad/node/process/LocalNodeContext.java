package dev.arbutusroad.node.process;

import dev.arbutusroad.node.configuration.ConfigurationAgent;
import dev.arbutusroad.node.datapath.NodeContext;
import dev.arbutusroad.node.membership.MembershipAgent;

/** Connects the data path to the membership and configuration agents of this node. */
final class LocalNodeContext implements NodeContext {
  private final MembershipAgent membership;
  private final ConfigurationAgent configuration;

  LocalNodeContext(MembershipAgent membership, ConfigurationAgent configuration) {
    this.membership = membership;
    this.configuration = configuration;
  }

  @Override
  public boolean isMemberViewStale() {
    return membership.isStale();
  }

  @Override
  public boolean isConfigurationUnconfirmed() {
    return configuration.isUnconfirmed();
  }

  @Override
  public void newerConfigurationSeen() {
    configuration.requestPoll();
  }

  @Override
  public void memberUnreachable(String memberId) {
    membership.reportUnreachable(memberId);
  }
}
