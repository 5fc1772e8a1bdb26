package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The membership record of a node and its target.
 *
 * @param id unique for each process start, from the settings plus a random suffix
 * @param incarnation raised by the member itself to refute records that others disseminate about it
 * @param service the service of its target; empty while no target is announced
 * @param region the region of its host
 * @param failureDomain the failure domain of its host
 * @param callerAddress the address to which other nodes send calls (TCP)
 * @param peerAddress the address to which other nodes send control messages (UDP and TCP)
 * @param state the state in the view of the node that holds the record
 * @param configurationVersion the newest version known to be in force at it, 0 for none
 */
public record Member(
    String id,
    long incarnation,
    String service,
    String region,
    String failureDomain,
    InetSocketAddress callerAddress,
    InetSocketAddress peerAddress,
    MemberState state,
    long configurationVersion) {
  public Member {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(callerAddress, "callerAddress");
    Objects.requireNonNull(peerAddress, "peerAddress");
    Objects.requireNonNull(state, "state");
  }

  /** Returns a copy of this record with another state. */
  public Member withState(MemberState newState) {
    return new Member(
        id,
        incarnation,
        service,
        region,
        failureDomain,
        callerAddress,
        peerAddress,
        newState,
        configurationVersion);
  }

  /** Returns a copy of this record with another incarnation. */
  public Member withIncarnation(long newIncarnation) {
    return new Member(
        id,
        newIncarnation,
        service,
        region,
        failureDomain,
        callerAddress,
        peerAddress,
        state,
        configurationVersion);
  }

  /** Returns a copy of this record with another service; empty for none. */
  public Member withService(String newService) {
    return new Member(
        id,
        incarnation,
        newService,
        region,
        failureDomain,
        callerAddress,
        peerAddress,
        state,
        configurationVersion);
  }

  /** Returns a copy of this record with another configuration version. */
  public Member withConfigurationVersion(long newVersion) {
    return new Member(
        id,
        incarnation,
        service,
        region,
        failureDomain,
        callerAddress,
        peerAddress,
        state,
        newVersion);
  }

  /** Returns a copy of this record with other addresses. */
  public Member withAddresses(InetSocketAddress newCaller, InetSocketAddress newPeer) {
    return new Member(
        id,
        incarnation,
        service,
        region,
        failureDomain,
        newCaller,
        newPeer,
        state,
        configurationVersion);
  }
}
