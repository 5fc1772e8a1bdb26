package dev.arbutusroad.core.edge;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * What a target says of itself.
 *
 * @param instance its id
 * @param service its service
 * @param address where it takes calls
 * @param startedMillis when it started, by its own clock; tells apart starts under one id
 * @param sequence grows with each report of one start
 * @param state whether it takes new calls
 * @param slots how many calls it runs at once; 0 if unknown
 * @param warmUpMillis how much longer it stays slow after its start
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
  /** Whether a target takes new calls. */
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
      throw new IllegalArgumentException("the numbers of a report must not be negative");
    }
  }
}
