package dev.arbutusroad.node.datapath;

/** An operation in progress that can be cancelled. */
@FunctionalInterface
interface Cancellable {
  /** No operation: cancelling has no effect. */
  Cancellable NO_OP = () -> {};

  /** Cancels the operation; has no effect after it has ended. */
  void cancel();
}
