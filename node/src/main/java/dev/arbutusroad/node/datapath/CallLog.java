package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionSnapshot;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.time.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Logs one line for each decision on a call, up to a maximum rate; {@code docs/OPERATIONS.md} lists
 * the events. Owned by the data path.
 */
final class CallLog {
  /**
   * Twice the calls per second that a node handles at the design size, at exit and gate together.
   */
  private static final int MAX_LINES_PER_SECOND = 600;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Consumer<String> sink;
  private final Ticker ticker;
  private long secondStartNanos;
  private int linesThisSecond;
  private long suppressedLines;

  CallLog(Consumer<String> sink, Ticker ticker) {
    this.sink = Objects.requireNonNull(sink, "sink");
    this.ticker = ticker;
    this.secondStartNanos = ticker.nanos();
  }

  /** Logs that the exit forwards a target's answer to the caller. */
  void answered(OutgoingCall call, Member member, int status, long latencyNanos) {
    if (acquireLine()) {
      sink.accept(
          exitLine("call_answered", call, member)
              .append(" status=")
              .append(status)
              .append(" ms=")
              .append(toMillis(latencyNanos))
              .toString());
    }
  }

  /** Logs a failed attempt at the exit and the retry decision. */
  void attemptFailed(
      OutgoingCall call, Member member, Failure failure, String rule, String action) {
    if (acquireLine()) {
      sink.accept(
          exitLine("attempt_failed", call, member)
              .append(" code=")
              .append(failure.code())
              .append(" action=")
              .append(action)
              .append(" rule=")
              .append(rule)
              .toString());
    }
  }

  /** Logs that the exit answers a caller with a failure. */
  void refused(ReceivedCall call, Failure failure, long configurationVersion) {
    if (acquireLine()) {
      sink.accept(
          callLine("call_refused", call)
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

  /** Logs that the gate refuses a call before it reaches the target. */
  void gateRefused(
      ReceivedCall call, CallContext context, Failure failure, AdmissionSnapshot state) {
    if (acquireLine()) {
      sink.accept(
          gateLine("gate_refused", call, context)
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

  /** Logs that the target has not answered, or that its answer cannot be forwarded. */
  void gateFailed(ReceivedCall call, CallContext context, String target, Failure failure) {
    if (acquireLine()) {
      sink.accept(
          gateLine("gate_failed", call, context)
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

  /** Logs an answer of the target. */
  void gateAnswered(ReceivedCall call, CallContext context, String target, int status) {
    if (acquireLine()) {
      sink.accept(
          gateLine("gate_answered", call, context)
              .append(" target=")
              .append(target)
              .append(" status=")
              .append(status)
              .toString());
    }
  }

  /** Logs that the caller disconnected before the answer was complete. */
  void cancelled(ReceivedCall call) {
    if (acquireLine()) {
      sink.accept(callLine("call_cancelled", call).toString());
    }
  }

  /** Logs that a request was refused because its head is malformed. */
  void malformedRequest(String caller, String reason) {
    if (acquireLine()) {
      sink.accept("event=request_malformed caller=" + caller + " reason=\"" + reason + '"');
    }
  }

  private StringBuilder exitLine(String event, OutgoingCall call, Member member) {
    return callLine(event, call.received())
        .append(" kind=")
        .append(call.policy().kind())
        .append(" config=")
        .append(call.context(0, 0).configurationVersion())
        .append(" attempt=")
        .append(call.attempts())
        .append(" member=")
        .append(member.id())
        .append(" left_ms=")
        .append(toMillis(call.deadlineNanos() - ticker.nanos()));
  }

  private static StringBuilder gateLine(String event, ReceivedCall call, CallContext context) {
    return callLine(event, call)
        .append(" importance=")
        .append(context.importance())
        .append(" caller=")
        .append(context.caller())
        .append(" config=")
        .append(context.configurationVersion())
        .append(" left_ms=")
        .append(context.remainingMillis());
  }

  private static StringBuilder callLine(String event, ReceivedCall call) {
    return new StringBuilder(200)
        .append("event=")
        .append(event)
        .append(" id=")
        .append(call.id())
        .append(" service=")
        .append(call.service());
  }

  private boolean acquireLine() {
    long now = ticker.nanos();
    if (now - secondStartNanos >= SECOND_NANOS) {
      if (suppressedLines > 0) {
        sink.accept("event=call_lines_suppressed count=" + suppressedLines);
      }
      secondStartNanos = now;
      linesThisSecond = 0;
      suppressedLines = 0;
    }
    if (linesThisSecond >= MAX_LINES_PER_SECOND) {
      suppressedLines++;
      return false;
    }
    linesThisSecond++;
    return true;
  }

  private static long toMillis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
