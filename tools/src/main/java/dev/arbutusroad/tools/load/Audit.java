package dev.arbutusroad.tools.load;

/**
 * Counts of runs that the targets report after a replay.
 *
 * @param doubledRuns order keys that ran more than once
 * @param ranDespiteNotRun attempts answered "not run" that ran
 * @param notRunAttempts attempts answered "not run"
 */
record Audit(long doubledRuns, long ranDespiteNotRun, long notRunAttempts) {}
