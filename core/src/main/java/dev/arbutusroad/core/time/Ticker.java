package dev.arbutusroad.core.time;

/** A monotonic time source that tests can replace. */
@FunctionalInterface
public interface Ticker {
  /** Returns the monotonic time in nanoseconds from an arbitrary origin. */
  long nanos();

  /** Returns the system's monotonic clock, which continues while the process is stopped. */
  static Ticker system() {
    return System::nanoTime;
  }
}
