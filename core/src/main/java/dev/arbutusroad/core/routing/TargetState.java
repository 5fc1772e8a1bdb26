package dev.arbutusroad.core.routing;

/**
 * The routing state of a target as one node observed it, for the state dump.
 *
 * @param memberId the id of the member
 * @param inFlight calls sent by this node and not yet answered
 * @param latencyMicros the moving average of the latency in microseconds; 0 if unknown
 * @param ejected whether the target is ejected from routing at present
 */
public record TargetState(String memberId, int inFlight, long latencyMicros, boolean ejected) {}
