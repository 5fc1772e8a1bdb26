package dev.arbutusroad.tools.history;

import java.util.Objects;

/**
 * A violated guarantee found in a history.
 *
 * @param kind the violated guarantee
 * @param orderKey key of the order
 * @param detail the events that show it
 */
public record OrderViolation(Kind kind, String orderKey, String detail) {
  /** The kinds of violation. */
  public enum Kind {
    /** An order ran more than once. */
    RAN_TWICE,
    /** A request was answered "not run", although it ran. */
    NOT_RUN_BUT_RAN,
    /** Every request of an order was answered "not run", although the order ran. */
    ALL_NOT_RUN_BUT_RAN,
    /** An order was answered as run, although no target ran it. */
    ANSWERED_WITHOUT_RUN,
    /** An answer differs from the one that the target gave. */
    OTHER_ANSWER,
    /** A target ran an order that nobody sent. */
    NEVER_SENT
  }

  public OrderViolation {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(orderKey, "orderKey");
    Objects.requireNonNull(detail, "detail");
  }
}
