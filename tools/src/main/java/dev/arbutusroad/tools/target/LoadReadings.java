package dev.arbutusroad.tools.target;

import dev.arbutusroad.core.time.Ticker;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** History of a target's load, from which the load endpoint can return a stale reading. */
final class LoadReadings {
  /** One minute of readings at {@link #SAMPLE_INTERVAL_MILLIS}, which is the longest lag. */
  private static final int MAX_READINGS = 600;

  static final int SAMPLE_INTERVAL_MILLIS = 100;

  private final Ticker ticker;
  private final Deque<Reading> readings = new ArrayDeque<>();

  LoadReadings(Ticker ticker) {
    this.ticker = ticker;
  }

  synchronized void add(int running, int queued) {
    readings.addLast(new Reading(ticker.nanos(), running, queued));
    if (readings.size() > MAX_READINGS) {
      readings.removeFirst();
    }
  }

  /** Returns the newest reading that is at least {@code lagMillis} old, else the oldest one. */
  synchronized Reading olderThan(int lagMillis) {
    long cutoffNanos = ticker.nanos() - TimeUnit.MILLISECONDS.toNanos(lagMillis);
    Reading newest = readings.isEmpty() ? new Reading(cutoffNanos, 0, 0) : readings.peekFirst();
    for (Reading reading : readings) {
      if (reading.atNanos() - cutoffNanos > 0) {
        break;
      }
      newest = reading;
    }
    return newest;
  }

  record Reading(long atNanos, int running, int queued) {}
}
