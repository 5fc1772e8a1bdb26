package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.config.CallPolicy;
import java.util.Objects;

/** One call at the gate, from its offer to its release. */
public final class AdmissionTicket {
  enum State {
    NEW,
    QUEUED,
    RUNNING,
    SUSPENDED,
    CLOSED
  }

  private final int importance;
  private final boolean started;
  private final int rank;
  private final int shedRank;
  private final long deadlineNanos;
  private final AdmissionCallback waiter;

  State state = State.NEW;
  long offeredNanos;
  long sequence;
  long leaveNanos;
  int limitMark;
  AdmissionTicket older;
  AdmissionTicket newer;

  /**
   * Creates a ticket for one offer.
   *
   * @param started whether the call is made for a request that runs already
   * @param deadlineNanos the deadline on the ticker of the controller
   * @param waiter what to call when the ticket leaves the queue
   */
  public AdmissionTicket(
      int importance,
      long originHash,
      boolean started,
      long deadlineNanos,
      AdmissionCallback waiter) {
    if (importance < CallPolicy.MIN_IMPORTANCE || importance > CallPolicy.MAX_IMPORTANCE) {
      throw new IllegalArgumentException("importance must be 0 to 100, not " + importance);
    }
    this.importance = importance;
    this.started = started;
    this.rank = AdmissionLevel.rankOf(importance, originHash);
    this.shedRank = started ? AdmissionLevel.rankOfChildCall(importance, originHash) : rank;
    this.deadlineNanos = deadlineNanos;
    this.waiter = Objects.requireNonNull(waiter, "waiter");
  }

  public int importance() {
    return importance;
  }

  /** Whether the call is made for a request that runs already. */
  boolean isStarted() {
    return started;
  }

  /**
   * Importance and origin group, see {@link AdmissionLevel#rankOf}: the same for all calls of one
   * request, so that the level counts whole requests.
   */
  public int rank() {
    return rank;
  }

  /** The rank that is compared with the level. */
  int shedRank() {
    return shedRank;
  }

  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Whether the call waits in the queue. */
  public boolean isQueued() {
    return state == State.QUEUED;
  }

  /** Whether the call has been started and not yet released. */
  public boolean isRunning() {
    return state == State.RUNNING;
  }

  AdmissionCallback waiter() {
    return waiter;
  }
}
