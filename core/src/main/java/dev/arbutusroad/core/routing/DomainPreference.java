package dev.arbutusroad.core.routing;

import dev.arbutusroad.core.membership.Member;

/** Prefers targets in this node's failure domain, then in its region. */
final class DomainPreference implements CostFactor {
  static final double OTHER_DOMAIN_FACTOR = 1.25;
  static final double OTHER_REGION_FACTOR = 4;

  private final String region;
  private final String failureDomain;

  DomainPreference(String region, String failureDomain) {
    this.region = region;
    this.failureDomain = failureDomain;
  }

  @Override
  public double costFactor(Member member, TargetStats stats, long nowNanos) {
    if (!member.region().equals(region)) {
      return OTHER_REGION_FACTOR;
    }
    return member.failureDomain().equals(failureDomain) ? 1 : OTHER_DOMAIN_FACTOR;
  }
}
