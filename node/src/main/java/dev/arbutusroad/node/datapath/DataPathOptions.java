package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.settings.Limits;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The settings of the data path.
 *
 * @param memberId the id of this node in the member view
 * @param region the region of the host
 * @param failureDomain the failure domain of the host
 * @param sharedSecret the installation's secret, known to its nodes only
 * @param limits the duration of a target's lease, the connect timeout and the queue limit
 * @param protocol the fields and statuses of calls between callers, nodes and targets
 * @param callerService the calling service of calls on the exit listener, if targets pass no tokens
 * @param target the address of the local target, if it is known before an announcement
 * @param log receives a log line for each decision; must not block
 */
public record DataPathOptions(
    String memberId,
    String region,
    String failureDomain,
    String sharedSecret,
    Limits limits,
    CallProtocol protocol,
    Optional<String> callerService,
    Optional<InetSocketAddress> target,
    Consumer<String> log) {
  public DataPathOptions {
    Objects.requireNonNull(memberId, "memberId");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(sharedSecret, "sharedSecret");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(protocol, "protocol");
    Objects.requireNonNull(callerService, "callerService");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(log, "log");
  }

  /** Creates the options of a node that uses {@link ArbutusProtocol} and default limits. */
  public DataPathOptions(
      String memberId, String region, String failureDomain, String sharedSecret) {
    this(
        memberId,
        region,
        failureDomain,
        sharedSecret,
        Limits.defaults(),
        new ArbutusProtocol(),
        Optional.empty(),
        Optional.empty(),
        line -> {});
  }

  @Override
  public String toString() {
    return "DataPathOptions[" + memberId + ", " + region + ", " + failureDomain + "]";
  }
}
