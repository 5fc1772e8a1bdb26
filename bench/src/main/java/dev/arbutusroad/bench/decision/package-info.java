/** JMH benchmarks of policy resolution and target selection, which run for each call. */
package dev.arbutusroad.bench.decision;
