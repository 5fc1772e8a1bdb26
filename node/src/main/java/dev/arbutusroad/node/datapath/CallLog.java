package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionSnapshot;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.time.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One line for each decision on a call, bounded to a number of lines a second; {@code
 * docs/OPERATIONS.md} lists the events. Owned by the data path.
 */
final class CallLog {
  /** Twice the calls that a node handles at the design size, on both of its sides. */
  private static final int LINES_PER_SECOND = 600;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Consumer<String> sink;
  private final Ticker ticker;
  private long secondStartNanos;
  private int lines;
  private long suppressed;

  CallLog(Consumer<String> sink, Ticker ticker) {
    this.sink = Objects.requireNonNull(sink, "sink");
    this.ticker = ticker;
    this.secondStartNanos = ticker.nanos();
  }

  /** The exit has passed a target's answer on to the caller. */
  void answered(OutgoingCall call, Member member, int status, long latencyNanos) {
    if (admits()) {
      sink.accept(
          exit("call_answered", call, member)
              .append(" status=")
              .append(status)
              .append(" ms=")
              .append(millis(latencyNanos))
              .toString());
    }
  }

  /** The exit makes another attempt, or has decided against it. */
  void attemptFailed(
      OutgoingCall call, Member member, Failure failure, String rule, String action) {
    if (admits()) {
      sink.accept(
          exit("attempt_failed", call, member)
              .append(" code=")
              .append(failure.code())
              .append(" action=")
              .append(action)
              .append(" rule=")
              .append(rule)
              .toString());
    }
  }

  /** The exit answers a caller itself. */
  void refused(ReceivedCall call, Failure failure, long configurationVersion) {
    if (admits()) {
      sink.accept(
          line("call_refused", call)
              .append(" code=")
              .append(failure.code())
              .append(" run=")
              .append(failure.code().runState())
              .append(" config=")
              .append(configurationVersion)
              .append(" reason=\"")
              .append(failure.detail())
              .append('"')
              .toString());
    }
  }

  /** The gate refuses a call that its target has not seen. */
  void gateRefused(
      ReceivedCall call, CallContext context, Failure failure, AdmissionSnapshot state) {
    if (admits()) {
      sink.accept(
          gate("gate_refused", call, context)
              .append(" code=")
              .append(failure.code())
              .append(" in_flight=")
              .append(state.inFlight())
              .append(" limit=")
              .append(state.limit())
              .append(" queued=")
              .append(state.queued())
              .append(" level=")
              .append(state.level().format())
              .toString());
    }
  }

  /** The target has not answered, or its answer can't be passed on. */
  void gateFailed(ReceivedCall call, CallContext context, String target, Failure failure) {
    if (admits()) {
      sink.accept(
          gate("gate_failed", call, context)
              .append(" target=")
              .append(target)
              .append(" code=")
              .append(failure.code())
              .append(" reason=\"")
              .append(failure.detail())
              .append('"')
              .toString());
    }
  }

  /** The target has answered. */
  void gateAnswered(ReceivedCall call, CallContext context, String target, int status) {
    if (admits()) {
      sink.accept(
          gate("gate_answered", call, context)
              .append(" target=")
              .append(target)
              .append(" status=")
              .append(status)
              .toString());
    }
  }

  /** The caller has gone before the answer was complete. */
  void cancelled(ReceivedCall call) {
    if (admits()) {
      sink.accept(line("call_cancelled", call).toString());
    }
  }

  private StringBuilder exit(String event, OutgoingCall call, Member member) {
    return line(event, call.received())
        .append(" kind=")
        .append(call.policy().kind())
        .append(" config=")
        .append(call.context(0, 0).configurationVersion())
        .append(" attempt=")
        .append(call.attempts())
        .append(" member=")
        .append(member.id())
        .append(" left_ms=")
        .append(millis(call.deadlineNanos() - ticker.nanos()));
  }

  private static StringBuilder gate(String event, ReceivedCall call, CallContext context) {
    return line(event, call)
        .append(" importance=")
        .append(context.importance())
        .append(" caller=")
        .append(context.caller())
        .append(" config=")
        .append(context.configurationVersion())
        .append(" left_ms=")
        .append(context.remainingMillis());
  }

  private static StringBuilder line(String event, ReceivedCall call) {
    return new StringBuilder(200)
        .append("event=")
        .append(event)
        .append(" id=")
        .append(call.id())
        .append(" service=")
        .append(call.service());
  }

  private boolean admits() {
    long now = ticker.nanos();
    if (now - secondStartNanos >= SECOND_NANOS) {
      if (suppressed > 0) {
        sink.accept("event=call_lines_suppressed count=" + suppressed);
      }
      secondStartNanos = now;
      lines = 0;
      suppressed = 0;
    }
    if (lines >= LINES_PER_SECOND) {
      suppressed++;
      return false;
    }
    lines++;
    return true;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
