package dev.arbutusroad.node.admin;

import java.util.Optional;

/** Provides the health and state of a node to the admin listener. */
public interface AdminSource {
  /** Returns why the node cannot take calls, or empty if it can. */
  Optional<String> unhealthyReason();

  /**
   * Returns a snapshot of the node's state, serializable as JSON. Called on the thread of the admin
   * listener.
   */
  Object state();

  /** Handles an operator's notice that a configuration version was accepted. */
  void onConfigurationNotice();
}
