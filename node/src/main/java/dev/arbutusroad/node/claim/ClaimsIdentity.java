package dev.arbutusroad.node.claim;

import java.util.Objects;

/**
 * Identifies the node that makes claims; written to the claim rows as information for operators.
 *
 * @param node the id of the node, unique for each start of the process
 * @param incarnation the incarnation of the node when it started
 */
public record ClaimsIdentity(String node, long incarnation) {
  public ClaimsIdentity {
    Objects.requireNonNull(node, "node");
  }
}
