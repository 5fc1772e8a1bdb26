package dev.arbutusroad.tools.target;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the runs of a target, in total and by order key, and records the attempts that ran. */
final class RunLog {
  /** Bounds the memory of a long trial; further attempts are not recorded. */
  private static final int MAX_ATTEMPTS = 2_000_000;

  private final AtomicLong runs = new AtomicLong();
  private final Map<String, Integer> runsByOrderKey = new ConcurrentHashMap<>();
  private final Set<String> attempts = ConcurrentHashMap.newKeySet();

  /** Records that a call starts to run and returns the number of runs so far. */
  long recordRun(CharSequence orderKey, CharSequence attempt) {
    if (orderKey != null) {
      runsByOrderKey.merge(orderKey.toString(), 1, Integer::sum);
    }
    if (attempt != null && attempts.size() < MAX_ATTEMPTS) {
      attempts.add(attempt.toString());
    }
    return runs.incrementAndGet();
  }

  long total() {
    return runs.get();
  }

  Map<String, Integer> byOrderKey() {
    return new TreeMap<>(runsByOrderKey);
  }

  Set<String> attempts() {
    return Set.copyOf(attempts);
  }
}
