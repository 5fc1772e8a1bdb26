package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.routing.TargetState;
import java.util.List;

/**
 * The data path in a state dump.
 *
 * @param service the service of the local target, empty if there is none
 * @param leaving whether the local target is leaving
 * @param callsInProgress calls received and not answered to the last byte
 * @param callsStarted calls received since the start
 * @param callsCut answers that ended before their last byte
 * @param inboundCalls calls that the local target is running
 * @param connectionPools number of addresses with a connection pool
 * @param targets the state of the targets that this node calls
 * @param overload the state of overload control
 */
public record DataPathState(
    String service,
    boolean leaving,
    int callsInProgress,
    long callsStarted,
    long callsCut,
    int inboundCalls,
    int connectionPools,
    List<TargetState> targets,
    OverloadState overload) {
  public DataPathState {
    targets = List.copyOf(targets);
  }
}
