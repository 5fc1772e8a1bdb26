package dev.arbutusroad.core.membership;

/** Accepts each datagram counter of one sender once, in any order within a window of 64. */
final class ReplayWindow {
  private long highest;
  private long seenBits;

  /** Records a counter; returns false if it was seen before or is older than the window. */
  boolean accept(long counter) {
    if (counter > highest) {
      long shift = counter - highest;
      seenBits = shift >= Long.SIZE ? 0 : seenBits << shift;
      seenBits |= 1;
      highest = counter;
      return true;
    }
    long age = highest - counter;
    if (age >= Long.SIZE || (seenBits & (1L << age)) != 0) {
      return false;
    }
    seenBits |= 1L << age;
    return true;
  }
}
