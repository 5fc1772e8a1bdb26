/** Measures the resource use of one node process at start, idle and under load. */
package dev.arbutusroad.bench.node;
