package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionSnapshot;
import dev.arbutusroad.core.fatal.FatalEntry;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;

/**
 * The state of overload control, as written to a state dump.
 *
 * @param admission the gate's limit, queue and counters
 * @param level the gate's admission level, {@code importance.group}
 * @param learnedLevels the learned admission levels, by {@code target/kind/importance}
 * @param shedAtExit calls refused at the exit because of a learned level, before they were sent
 * @param retryBudgets retries currently allowed, by service
 * @param retryDecisions number of decisions on failed attempts, by deciding rule
 * @param parkedSuspects calls that wait for a suspect in flight to finish
 * @param deaths how often the local target died or broke connections with calls in flight
 * @param fatal the requests suspected, cleared or marked as crashing targets
 */
public record OverloadState(
    AdmissionSnapshot admission,
    String level,
    SortedMap<String, String> learnedLevels,
    long shedAtExit,
    SortedMap<String, Double> retryBudgets,
    SortedMap<String, Long> retryDecisions,
    int parkedSuspects,
    long deaths,
    List<FatalEntry> fatal) {
  public OverloadState {
    learnedLevels = Collections.unmodifiableSortedMap(learnedLevels);
    retryBudgets = Collections.unmodifiableSortedMap(retryBudgets);
    retryDecisions = Collections.unmodifiableSortedMap(retryDecisions);
    fatal = List.copyOf(fatal);
  }
}
