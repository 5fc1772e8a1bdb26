package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetReport;
import java.util.Objects;
import java.util.Optional;

/**
 * The departure of a target, which the node has acknowledged.
 *
 * @param instance the id of the target
 * @param lastStartMillis the latest start under this id that has left, in milliseconds by the clock
 *     of the host
 */
public record Departure(String instance, long lastStartMillis) {
  private static final int FIELDS = 2;

  public Departure {
    Objects.requireNonNull(instance, "instance");
  }

  /** Returns whether a start of a target has left. */
  boolean covers(String otherInstance, long startedMillis) {
    return otherInstance.equals(instance) && startedMillis <= lastStartMillis;
  }

  /** Returns whether the report was sent by a start that has left. */
  boolean covers(TargetReport report) {
    return covers(report.instance(), report.startedMillis());
  }

  /** Returns the text of a table row, which {@link #parse} reads. */
  String format() {
    return lastStartMillis + " " + instance;
  }

  /** Returns the departure in a row; empty if the row is malformed. */
  static Optional<Departure> parse(String row) {
    String[] fields = row.split(" ", FIELDS);
    try {
      return fields.length < FIELDS
          ? Optional.empty()
          : Optional.of(new Departure(fields[1], Long.parseLong(fields[0])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
