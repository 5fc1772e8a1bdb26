package dev.arbutusroad.node.datapath;

/** Receives notifications when the local target starts or stops taking calls. */
public interface TargetListener {
  /** The local target takes calls for a service. */
  void serving(String service);

  /** The local target takes no new calls and finishes those in progress. */
  void leaving();

  /** The local target has disappeared without leaving first. */
  void lost();
}
