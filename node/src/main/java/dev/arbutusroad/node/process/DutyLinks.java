package dev.arbutusroad.node.process;

import dev.arbutusroad.node.configuration.ConfigurationDuty;
import dev.arbutusroad.node.datapath.NodeContext;
import dev.arbutusroad.node.membership.MembershipDuty;

/** Connects the data path with the membership and configuration duties. */
final class DutyLinks implements NodeContext {
  private final MembershipDuty membership;
  private final ConfigurationDuty configuration;

  DutyLinks(MembershipDuty membership, ConfigurationDuty configuration) {
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
