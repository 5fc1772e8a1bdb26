package dev.arbutusroad.node.process;

import dev.arbutusroad.node.datapath.TargetListener;
import dev.arbutusroad.node.membership.MembershipAgent;
import org.tinylog.Logger;

/** Announces the state of the local target to the other nodes. */
final class TargetAnnouncer implements TargetListener {
  private final String node;
  private final MembershipAgent membership;

  TargetAnnouncer(String node, MembershipAgent membership) {
    this.node = node;
    this.membership = membership;
  }

  @Override
  public void serving(String service) {
    Logger.info("event=target_serving node={} service={}", node, service);
    membership.announce(service);
  }

  @Override
  public void leaving() {
    Logger.info("event=target_leaving node={}", node);
    membership.markTargetLeaving();
  }

  @Override
  public void lost() {
    Logger.warn("event=target_lost node={}", node);
    membership.withdraw();
  }
}
