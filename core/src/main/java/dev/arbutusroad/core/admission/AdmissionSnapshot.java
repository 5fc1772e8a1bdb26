package dev.arbutusroad.core.admission;

import java.util.Objects;

/**
 * A snapshot of the state of an admission controller, for metrics and dumps.
 *
 * @param limit the concurrency limit
 * @param inFlight running calls
 * @param queued calls in the queue
 * @param oldestWaitNanos how long the oldest queued call has waited; 0 if none is queued
 * @param overloaded whether the last window was overloaded, so that the queue serves the newest
 *     call first
 * @param level the admission level in force
 * @param meanLatencyNanos the mean latency of recent calls; 0 before the first call
 * @param started calls started so far
 * @param shed calls refused by the level or the queue timeout so far
 * @param queueFull calls refused or evicted because the queue was full so far
 * @param expired calls whose deadline passed before they started so far
 * @param cancelled calls cancelled while queued so far
 */
public record AdmissionSnapshot(
    int limit,
    int inFlight,
    int queued,
    long oldestWaitNanos,
    boolean overloaded,
    AdmissionLevel level,
    long meanLatencyNanos,
    long started,
    long shed,
    long queueFull,
    long expired,
    long cancelled) {
  public AdmissionSnapshot {
    Objects.requireNonNull(level, "level");
  }
}
