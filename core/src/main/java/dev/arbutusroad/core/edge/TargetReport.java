package dev.arbutusroad.core.edge;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The state that a target reports to its node.
 *
 * @param instance the id of the target
 * @param service the service of the target
 * @param address the address on which it accepts calls
 * @param startedMillis when it started, in milliseconds of its own clock; distinguishes restarts
 *     under the same id
 * @param sequence increases with each report between two starts
 * @param state whether it accepts new calls
 * @param slots the number of calls that it runs concurrently; 0 if unknown
 * @param warmUpMillis the remaining warm-up time in milliseconds, in which it is slow
 */
public record TargetReport(
    String instance,
    String service,
    InetSocketAddress address,
    long startedMillis,
    long sequence,
    State state,
    int slots,
    long warmUpMillis) {
  /** Whether a target accepts new calls. */
  public enum State {
    READY,
    LEAVING
  }

  public TargetReport {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(state, "state");
    if (slots < 0 || warmUpMillis < 0) {
      throw new IllegalArgumentException("slots and warmUpMillis must not be negative");
    }
  }
}
