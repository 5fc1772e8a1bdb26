package dev.arbutusroad.core.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.testing.Seeds;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class AdmissionControllerTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long FAR_NANOS = Long.MAX_VALUE / 4;

  /** A call that records the callbacks it received. */
  private static final class Call implements AdmissionCallback {
    final AdmissionTicket ticket;
    final List<String> events = new ArrayList<>();
    List<Call> startOrder = new ArrayList<>();

    Call(int importance, long originHash, long deadlineNanos) {
      ticket = new AdmissionTicket(importance, originHash, false, deadlineNanos, this);
    }

    @Override
    public void start() {
      events.add("START");
      startOrder.add(this);
    }

    @Override
    public void refuse(ResultCode code) {
      events.add(code.name());
    }
  }

  /**
   * Guards against starting, or keeping queued, a less important call instead of a more important
   * one.
   */
  @Test
  void mostImportantCallsStartFirstAndStayQueued() {
    AdmissionController gate = new AdmissionController(new StaticLimit(1), 3, 0);
    List<Call> startOrder = new ArrayList<>();
    List<Call> calls = new ArrayList<>();
    for (int importance : new int[] {50, 10, 40, 40, 90, 5}) {
      Call call = new Call(importance, 0, FAR_NANOS);
      call.startOrder = startOrder;
      calls.add(call);
      gate.submit(call.ticket, 0);
    }
    assertThat(calls.get(1).events).containsExactly("QUEUE_FULL");
    assertThat(calls.get(5).events).containsExactly("QUEUE_FULL");
    for (int i = 0; i < 4; i++) {
      gate.release(startOrder.get(i).ticket, MILLI_NANOS, CallOutcome.ANSWERED, MILLI_NANOS);
    }
    assertThat(startOrder.stream().map(call -> call.ticket.importance()))
        .containsExactly(50, 90, 40, 40);
    assertThat(startOrder.get(2)).isSameAs(calls.get(2));
    assertThatThrownBy(
            () -> gate.release(startOrder.get(0).ticket, 1, CallOutcome.ANSWERED, MILLI_NANOS))
        .isInstanceOf(IllegalStateException.class);
  }

  /** Guards against a suspended call that keeps its slot or releases it twice. */
  @Test
  void suspendedCallReleasesItsSlotOnce() {
    AdmissionController gate = new AdmissionController(new StaticLimit(1), 3, 0);
    Call first = new Call(50, 0, FAR_NANOS);
    Call second = new Call(50, 0, FAR_NANOS);
    gate.submit(first.ticket, 0);
    gate.submit(second.ticket, 0);
    gate.suspend(first.ticket, 0);
    assertThat(second.events).containsExactly("START");
    gate.resume(first.ticket);
    assertThat(gate.snapshot(0).inFlight()).isEqualTo(2);
    gate.suspend(first.ticket, 0);
    gate.release(first.ticket, 0, CallOutcome.IGNORED, 0);
    assertThat(gate.snapshot(0).inFlight()).isEqualTo(1);
  }

  /**
   * Guards against calls that are started or refused twice or not at all, calls that get a callback
   * after they are cancelled, running calls above the limit, queued calls that wait too long, and
   * refusals by the level of calls at or above it.
   */
  @Test
  void everyCallEndsOnceUnderRandomLoad() {
    Random random = new Random(Seeds.seed("AdmissionControllerTest"));
    StaticLimit limit = new StaticLimit(5);
    AdmissionController gate = new AdmissionController(limit, 20, 0);
    List<Call> all = new ArrayList<>();
    List<Call> running = new ArrayList<>();
    List<Call> cancelled = new ArrayList<>();
    long nowNanos = 0;
    boolean anyShed = false;
    for (int step = 0; step < 60_000; step++) {
      nowNanos += random.nextInt(2) * MILLI_NANOS;
      int action = random.nextInt(10);
      if (action < 6) {
        long deadline = nowNanos + random.nextInt(300) * MILLI_NANOS;
        Call call = new Call(random.nextInt(101), random.nextLong(), deadline);
        call.startOrder = running;
        all.add(call);
        AdmissionLevel previous = gate.currentLevel();
        gate.submit(call.ticket, nowNanos);
        AdmissionLevel strictest = previous.max(gate.currentLevel());
        boolean shed = call.events.contains("SHED");
        anyShed |= shed;
        assertThat(shed && call.ticket.rank() >= strictest.rank()).isFalse();
      } else if (action < 8 && !running.isEmpty()) {
        Call call = running.remove(random.nextInt(running.size()));
        gate.release(call.ticket, 20 * MILLI_NANOS, CallOutcome.ANSWERED, nowNanos);
      } else if (action == 8 && !all.isEmpty()) {
        Call call = all.get(Math.max(0, all.size() - 1 - random.nextInt(30)));
        if (call.ticket.isQueued()) {
          cancelled.add(call);
        }
        gate.cancel(call.ticket);
      } else {
        gate.advance(nowNanos);
        assertThat(gate.snapshot(nowNanos).oldestWaitNanos())
            .isLessThanOrEqualTo(500 * MILLI_NANOS);
      }
      assertThat(gate.snapshot(nowNanos).inFlight())
          .isEqualTo(running.size())
          .isLessThanOrEqualTo(5);
    }
    while (!running.isEmpty()) {
      gate.release(running.remove(0).ticket, MILLI_NANOS, CallOutcome.ANSWERED, nowNanos);
    }
    assertThat(cancelled).isNotEmpty().allMatch(call -> call.events.isEmpty());
    all.removeAll(new HashSet<>(cancelled));
    assertThat(all).allMatch(call -> call.events.size() == 1);
    assertThat(anyShed).isTrue();
    AdmissionSnapshot snapshot = gate.snapshot(nowNanos);
    assertThat(snapshot.started() + snapshot.shed() + snapshot.queueFull() + snapshot.expired())
        .isEqualTo(all.size());
  }
}
