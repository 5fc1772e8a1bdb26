package dev.arbutusroad.tools.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits until a condition holds. */
final class Awaiting {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private Awaiting() {}

  static void await(BooleanSupplier condition) {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - startNanos > TIMEOUT_NANOS) {
        throw new AssertionError("the condition did not hold within 30 s");
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
  }
}
