package dev.arbutusroad.tools.platform;

/**
 * Numbers of operations that the stand-in platform has served.
 *
 * @param reads reads of rows, ranges and objects
 * @param commits commits, applied or refused
 * @param writes rows and objects written
 * @param conflicts commits refused with a conflict
 */
public record PlatformStats(long reads, long commits, long writes, long conflicts) {}
