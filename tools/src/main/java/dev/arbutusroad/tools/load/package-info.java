/** The load tool: replays traces on schedule, checks answers and expected outcomes. */
package dev.arbutusroad.tools.load;
