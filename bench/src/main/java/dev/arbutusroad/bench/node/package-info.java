/** Measures what one node process costs: its start, its rest and its calls. */
package dev.arbutusroad.bench.node;
