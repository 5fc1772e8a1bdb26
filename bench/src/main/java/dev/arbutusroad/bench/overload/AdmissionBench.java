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

/** Measures the admission of one call: its submission and, if it starts, its release. */
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
  private static final int IMPORTANCE_VALUES = 101;

  /** Arrival rate as a multiple of the capacity of 45 slots with a latency of 50 ms. */
  @Param({"0.7", "3.0"})
  public double load;

  private final Deque<AdmissionTicket> running = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private AdmissionController controller;
  private long nowNanos;
  private long nextReleaseNanos;
  private long arrivalIntervalNanos;

  @Setup
  public void setUp() {
    controller =
        new AdmissionController(
            new ProbingLimit(), AdmissionController.DEFAULT_QUEUE_CAPACITY, nowNanos);
    arrivalIntervalNanos = (long) (releaseIntervalNanos() / load);
  }

  @Benchmark
  public int call() {
    nowNanos += arrivalIntervalNanos;
    controller.submit(new SubmittedCall().ticket, nowNanos);
    while (nowNanos - nextReleaseNanos >= 0 && !running.isEmpty()) {
      controller.release(running.poll(), LATENCY_NANOS, CallOutcome.ANSWERED, nowNanos);
      nextReleaseNanos =
          Math.max(nextReleaseNanos, nowNanos - arrivalIntervalNanos) + releaseIntervalNanos();
    }
    return running.size();
  }

  private static long releaseIntervalNanos() {
    return LATENCY_NANOS / SLOTS;
  }

  private final class SubmittedCall implements AdmissionCallback {
    private final AdmissionTicket ticket =
        new AdmissionTicket(
            random.nextInt(IMPORTANCE_VALUES),
            random.nextLong(),
            false,
            nowNanos + DEADLINE_NANOS,
            this);

    @Override
    public void start() {
      running.add(ticket);
    }

    @Override
    public void refuse(ResultCode code) {}
  }
}
