package dev.arbutusroad.node.datapath;

/** What the data path asks of the node's other duties and tells them. Never blocks. */
public interface NodeContext {
  /** Whether the node was paused and has not heard of another member since. */
  boolean isMemberViewStale();

  /** Whether a newer configuration may be in force elsewhere. */
  boolean isConfigurationUnconfirmed();

  /** Another node works with a newer configuration than this one. */
  void newerConfigurationSeen();

  /** A connection to a member could not be opened or broke. */
  void memberUnreachable(String memberId);
}
