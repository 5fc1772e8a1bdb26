package dev.arbutusroad.node.admin;

import java.util.Optional;

/** What the admin listener shows of a node. */
public interface AdminSource {
  /** Why the node can't take calls; empty if it can. */
  Optional<String> unhealthyReason();

  /** A snapshot of the node's state, serializable as JSON. Called on the data path's thread. */
  Object state();

  /** Takes a notice that a configuration version was accepted. */
  void onConfigurationNotice();
}
