package dev.arbutusroad.tools.platform;

import dev.arbutusroad.core.time.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The active faults; each ends after its duration or its number of requests. */
final class ActiveFaults {
  private final Ticker ticker;
  private final List<Active> active = new ArrayList<>();

  private static final class Active {
    private final PlatformFault fault;
    private final long endNanos;
    private long requestsLeft;

    Active(PlatformFault fault, long startNanos) {
      this.fault = fault;
      this.endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(fault.durationMillis());
      this.requestsLeft = fault.requests();
    }

    boolean isOver(long nowNanos) {
      return (fault.durationMillis() > 0 && nowNanos - endNanos >= 0)
          || (fault.requests() > 0 && requestsLeft == 0);
    }
  }

  ActiveFaults(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Replaces all faults. */
  synchronized void set(List<PlatformFault> faults) {
    active.clear();
    long nowNanos = ticker.nanos();
    faults.forEach(fault -> active.add(new Active(fault, nowNanos)));
  }

  /** Returns the first active fault of a kind, if any, and counts a request against it. */
  synchronized Optional<PlatformFault> take(PlatformFault.Kind kind) {
    long nowNanos = ticker.nanos();
    active.removeIf(entry -> entry.isOver(nowNanos));
    for (Active entry : active) {
      if (entry.fault.kind() == kind) {
        entry.requestsLeft--;
        return Optional.of(entry.fault);
      }
    }
    return Optional.empty();
  }
}
