package dev.arbutusroad.node.datapath;

/** Something in progress that can be given up. */
@FunctionalInterface
interface Cancellable {
  /** What has nothing to give up. */
  Cancellable NO_OP = () -> {};

  /** Gives up; has no effect after the end. */
  void cancel();
}
