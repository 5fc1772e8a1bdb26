package dev.arbutusroad.node.datapath;

/** Gives the data path access to the rest of its node. Implementations must not block. */
public interface NodeContext {
  /** Returns whether the node was paused and has not heard from another member since. */
  boolean isMemberViewStale();

  /** Returns whether other nodes may have a newer configuration. */
  boolean isConfigurationUnconfirmed();

  /** Notifies the node that another one uses a newer configuration. */
  void newerConfigurationSeen();

  /** Notifies the node that a connection to a member could not be opened or broke. */
  void memberUnreachable(String memberId);
}
