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

  /** A call that records what happened to it. */
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

  /** Guards against less important calls that run, or stay, in place of more important ones. */
  @Test
  void servesAndKeepsTheMostImportant() {
    AdmissionController gate = new AdmissionController(new StaticLimit(1), 3, 0);
    List<Call> order = new ArrayList<>();
    List<Call> calls = new ArrayList<>();
    for (int importance : new int[] {50, 10, 40, 40, 90, 5}) {
      Call call = new Call(importance, 0, FAR_NANOS);
      call.startOrder = order;
      calls.add(call);
      gate.submit(call.ticket, 0);
    }
    assertThat(calls.get(1).events).containsExactly("QUEUE_FULL");
    assertThat(calls.get(5).events).containsExactly("QUEUE_FULL");
    for (int i = 0; i < 4; i++) {
      gate.release(order.get(i).ticket, MILLI_NANOS, CallOutcome.ANSWERED, MILLI_NANOS);
    }
    assertThat(order.stream().map(call -> call.ticket.importance()))
        .containsExactly(50, 90, 40, 40);
    assertThat(order.get(2)).isSameAs(calls.get(2));
    assertThatThrownBy(
            () -> gate.release(order.get(0).ticket, 1, CallOutcome.ANSWERED, MILLI_NANOS))
        .isInstanceOf(IllegalStateException.class);
  }

  /** Guards against a place that a suspended call keeps, or that is given back twice. */
  @Test
  void suspendedCallGivesUpItsPlace() {
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
   * Guards against calls that are answered twice or never, that run after their deadline or after
   * being cancelled, that exceed the limit, and against a refusal by level of a call that ranks
   * above an admitted one.
   */
  @Test
  void everyCallEndsOnceUnderRandomLoad() {
    Random random = new Random(Seeds.seed("AdmissionControllerTest"));
    StaticLimit limit = new StaticLimit(5);
    AdmissionController gate = new AdmissionController(limit, 20, 0);
    List<Call> all = new ArrayList<>();
    List<Call> running = new ArrayList<>();
    List<Call> cancelled = new ArrayList<>();
    long now = 0;
    boolean sawShed = false;
    for (int step = 0; step < 60_000; step++) {
      now += random.nextInt(2) * MILLI_NANOS;
      int action = random.nextInt(10);
      if (action < 6) {
        long deadline = now + random.nextInt(300) * MILLI_NANOS;
        Call call = new Call(random.nextInt(101), random.nextLong(), deadline);
        call.startOrder = running;
        all.add(call);
        AdmissionLevel before = gate.currentLevel();
        gate.submit(call.ticket, now);
        AdmissionLevel strictest = before.max(gate.currentLevel());
        boolean shed = call.events.contains("SHED");
        sawShed |= shed;
        assertThat(shed && call.ticket.rank() >= strictest.rank()).isFalse();
      } else if (action < 8 && !running.isEmpty()) {
        Call call = running.remove(random.nextInt(running.size()));
        gate.release(call.ticket, 20 * MILLI_NANOS, CallOutcome.ANSWERED, now);
      } else if (action == 8 && !all.isEmpty()) {
        Call call = all.get(Math.max(0, all.size() - 1 - random.nextInt(30)));
        if (call.ticket.isQueued()) {
          cancelled.add(call);
        }
        gate.cancel(call.ticket);
      } else {
        gate.advance(now);
        assertThat(gate.snapshot(now).oldestWaitNanos()).isLessThanOrEqualTo(500 * MILLI_NANOS);
      }
      assertThat(gate.snapshot(now).inFlight()).isEqualTo(running.size()).isLessThanOrEqualTo(5);
    }
    while (!running.isEmpty()) {
      gate.release(running.remove(0).ticket, MILLI_NANOS, CallOutcome.ANSWERED, now);
    }
    assertThat(cancelled).isNotEmpty().allMatch(call -> call.events.isEmpty());
    all.removeAll(new HashSet<>(cancelled));
    assertThat(all).allMatch(call -> call.events.size() == 1);
    assertThat(sawShed).isTrue();
    AdmissionSnapshot end = gate.snapshot(now);
    assertThat(end.started() + end.shed() + end.queueFull() + end.expired()).isEqualTo(all.size());
  }
}
