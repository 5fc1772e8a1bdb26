package dev.arbutusroad.node.claim;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of claims, commits and settlements; any thread may read them. */
public final class ClaimsCounters {
  final LongAdder run = new LongAdder();
  final LongAdder answered = new LongAdder();
  final LongAdder refused = new LongAdder();
  final LongAdder rejected = new LongAdder();
  final LongAdder commits = new LongAdder();
  final LongAdder commitRows = new LongAdder();
  final LongAdder conflicts = new LongAdder();
  final LongAdder lostAnswers = new LongAdder();
  final LongAdder abandoned = new LongAdder();
  final LongAdder settled = new LongAdder();
  final LongAdder settlementsDropped = new LongAdder();
  final LongAdder purged = new LongAdder();

  /** Returns the counts by name, for metrics and the state dump. */
  public Map<String, Long> values() {
    Map<String, Long> values = new LinkedHashMap<>();
    values.put("claims_run", run.sum());
    values.put("claims_answered", answered.sum());
    values.put("claims_refused", refused.sum());
    values.put("claims_rejected_ring_full", rejected.sum());
    values.put("claim_commits", commits.sum());
    values.put("claim_commit_rows", commitRows.sum());
    values.put("claim_conflicts", conflicts.sum());
    values.put("claim_lost_answers", lostAnswers.sum());
    values.put("claims_abandoned", abandoned.sum());
    values.put("claims_settled", settled.sum());
    values.put("claim_settlements_dropped", settlementsDropped.sum());
    values.put("claim_rows_purged", purged.sum());
    return values;
  }
}
