package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.config.CallPolicy;
import java.util.Objects;

/** The admission state of one call, from its arrival at the gate to its release. */
public final class AdmissionTicket {
  enum State {
    NEW,
    QUEUED,
    RUNNING,
    SUSPENDED,
    CLOSED
  }

  private final int importance;
  private final boolean childCall;
  private final int rank;
  private final int effectiveRank;
  private final long deadlineNanos;
  private final AdmissionCallback callback;

  State state = State.NEW;
  long enqueuedNanos;
  long sequence;
  long queueDeadlineNanos;
  int sampleTag;
  AdmissionTicket older;
  AdmissionTicket newer;

  /**
   * Creates a ticket for one call.
   *
   * @param importance 0 to 100
   * @param originHash hash of the original request, the same at every hop
   * @param childCall whether a target makes the call for a request that is already running
   * @param deadlineNanos the deadline on the ticker of the controller
   * @param callback called when the call is started or refused
   * @throws IllegalArgumentException if the importance is out of range
   */
  public AdmissionTicket(
      int importance,
      long originHash,
      boolean childCall,
      long deadlineNanos,
      AdmissionCallback callback) {
    if (importance < CallPolicy.MIN_IMPORTANCE || importance > CallPolicy.MAX_IMPORTANCE) {
      throw new IllegalArgumentException("importance must be 0 to 100, not " + importance);
    }
    this.importance = importance;
    this.childCall = childCall;
    this.rank = AdmissionLevel.rankOf(importance, originHash);
    this.effectiveRank = childCall ? AdmissionLevel.rankOfChildCall(importance, originHash) : rank;
    this.deadlineNanos = deadlineNanos;
    this.callback = Objects.requireNonNull(callback, "callback");
  }

  public int importance() {
    return importance;
  }

  /** Returns whether a target makes the call for a request that is already running. */
  boolean isChildCall() {
    return childCall;
  }

  /**
   * Returns the rank from importance and origin group, see {@link AdmissionLevel#rankOf}. It is the
   * same for all calls of one request, so that the level counts whole requests.
   */
  public int rank() {
    return rank;
  }

  /**
   * Returns the rank that is compared with the level; higher than {@link #rank} for child calls.
   */
  int effectiveRank() {
    return effectiveRank;
  }

  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns whether the call waits in the queue. */
  public boolean isQueued() {
    return state == State.QUEUED;
  }

  /** Returns whether the call has been started and is neither suspended nor released. */
  public boolean isRunning() {
    return state == State.RUNNING;
  }

  AdmissionCallback callback() {
    return callback;
  }
}
