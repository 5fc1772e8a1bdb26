package dev.arbutusroad.bench.overload;

import dev.arbutusroad.core.admission.AdmissionCallback;
import dev.arbutusroad.core.admission.AdmissionController;
import dev.arbutusroad.core.admission.AdmissionTicket;
import dev.arbutusroad.core.admission.CallOutcome;
import dev.arbutusroad.core.admission.ProbingLimit;
import dev.arbutusroad.core.result.ResultCode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The cost of admission for one call: its offer and, if it starts, its release. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBench {
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int SLOTS = 45;
  private static final int IMPORTANCES = 101;

  /** Offered calls as a multiple of what 45 slots at 50 ms serve. */
  @Param({"0.7", "3.0"})
  public double load;

  private final Deque<AdmissionTicket> running = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private AdmissionController gate;
  private long nowNanos;
  private long nextReleaseNanos;
  private long offerGapNanos;

  @Setup
  public void setUp() {
    gate =
        new AdmissionController(
            new ProbingLimit(), AdmissionController.DEFAULT_QUEUE_CAPACITY, nowNanos);
    offerGapNanos = (long) (gapNanos() / load);
  }

  @Benchmark
  public int call() {
    nowNanos += offerGapNanos;
    gate.submit(new Waiter().ticket, nowNanos);
    while (nowNanos - nextReleaseNanos >= 0 && !running.isEmpty()) {
      gate.release(running.poll(), LATENCY_NANOS, CallOutcome.ANSWERED, nowNanos);
      nextReleaseNanos = Math.max(nextReleaseNanos, nowNanos - offerGapNanos) + gapNanos();
    }
    return running.size();
  }

  private static long gapNanos() {
    return LATENCY_NANOS / SLOTS;
  }

  private final class Waiter implements AdmissionCallback {
    private final AdmissionTicket ticket =
        new AdmissionTicket(
            random.nextInt(IMPORTANCES), random.nextLong(), false, nowNanos + DEADLINE_NANOS, this);

    @Override
    public void start() {
      running.add(ticket);
    }

    @Override
    public void refuse(ResultCode code) {}
  }
}
