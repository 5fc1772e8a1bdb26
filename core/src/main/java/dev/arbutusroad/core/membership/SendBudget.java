package dev.arbutusroad.core.membership;

import java.util.concurrent.TimeUnit;

/** A token bucket of the bytes that a member sends. Probes may overdraw it; changes may not. */
final class SendBudget {
  private final int bytesPerSecond;
  private final int burstBytes;
  private double availableBytes;
  private long lastNanos;

  SendBudget(int bytesPerSecond, int burstBytes, long nowNanos) {
    this.bytesPerSecond = bytesPerSecond;
    this.burstBytes = burstBytes;
    availableBytes = burstBytes;
    lastNanos = nowNanos;
  }

  /** Returns whether a message of the given size may be sent now. */
  boolean allows(int bytes, long nowNanos) {
    double elapsedSeconds = (double) (nowNanos - lastNanos) / TimeUnit.SECONDS.toNanos(1);
    availableBytes = Math.min(burstBytes, availableBytes + elapsedSeconds * bytesPerSecond);
    lastNanos = nowNanos;
    return availableBytes >= bytes;
  }

  /** Deducts bytes that were sent, whether {@link #allows} permitted them or not. */
  void charge(int bytes) {
    availableBytes -= bytes;
  }
}
