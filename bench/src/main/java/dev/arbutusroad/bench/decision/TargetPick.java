package dev.arbutusroad.bench.decision;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.routing.TargetSelector;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures target selection and the recording of the call by the number of targets. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class TargetPick {
  private static final int DOMAINS = 4;
  private static final int FIRST_PORT = 10_000;
  private static final int WARM_UP_CALLS = 10_000;
  private static final long CALL_INTERVAL_NANOS = 1_000_000;
  private static final long SEED = 1;

  @Param({"4", "20", "200"})
  public int targets;

  private final Random random = new Random(SEED);
  private final TargetSelector selector = new TargetSelector("muscat", "muscat-0", random, 0);
  private FixedMemberView view;
  private long nowNanos = TimeUnit.MINUTES.toNanos(1);

  /** Creates the members and records calls until the selector has statistics of every target. */
  @Setup
  public void prepare() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + i);
      members.add(
          new Member(
              "m" + i,
              1,
              "orders",
              "muscat",
              "muscat-" + i % DOMAINS,
              address,
              address,
              MemberState.UP,
              1));
    }
    view = new FixedMemberView(List.copyOf(members));
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      pickAndRecord();
    }
  }

  /** Selects a target and records the start and success of a call to it. */
  @Benchmark
  public Optional<Member> pickAndRecord() {
    nowNanos += CALL_INTERVAL_NANOS;
    Optional<Member> selected = selector.select(view, "orders", Set.of(), member -> true, nowNanos);
    selected.ifPresent(
        member -> {
          selector.started(member, nowNanos);
          selector.succeeded(
              member, CALL_INTERVAL_NANOS + random.nextInt((int) CALL_INTERVAL_NANOS), nowNanos);
        });
    return selected;
  }

  private record FixedMemberView(List<Member> all) implements MemberView {
    @Override
    public long revision() {
      return 1;
    }

    @Override
    public List<Member> serving(String service) {
      return all;
    }
  }
}
