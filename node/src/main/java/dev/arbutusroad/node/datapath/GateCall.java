package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetCall;
import dev.arbutusroad.core.fatal.FatalRequests;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.node.http.Answer;
import dev.arbutusroad.node.http.BodyEnd;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One call at the gate, from its admission to the end of its answer. */
final class GateCall {
  /** Longer than it takes to conclude from broken connections whether the target has died. */
  private static final long DEATH_EVIDENCE_NANOS =
      FatalRequests.GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(10);

  private final Gate gate;
  private final ReceivedCall call;
  private final CallContext context;
  private final long deadlineNanos;
  private RequestBody body;
  private GateAdmission.Slot slot;
  private InboundCall inboundCall;
  private Consumer<Answer> reply;
  private Runnable cancelStep = () -> {};

  GateCall(Gate gate, ReceivedCall call, CallContext context) {
    this.gate = gate;
    this.call = call;
    this.context = context;
    deadlineNanos =
        gate.ticker().nanos() + TimeUnit.MILLISECONDS.toNanos(context.remainingMillis());
    reply = answer -> call.exchange().answer(answer);
  }

  void start() {
    call.exchange().whenEnded(this::ended);
    RequestBody.read(call.exchange(), this::admit);
  }

  private void ended(boolean complete) {
    if (!complete) {
      cancelStep.run();
    }
    if (inboundCall != null) {
      gate.inbound().end(inboundCall);
    }
    if (slot != null) {
      slot.abandoned();
    }
  }

  private void admit(RequestBody read) {
    body = read;
    Runnable cancelWait =
        gate.admission().admit(context, call.fingerprint(body), deadlineNanos, this::decided);
    if (slot == null) {
      cancelStep = cancelWait;
    }
  }

  private void decided(Either<Failure, GateAdmission.Slot> decision) {
    if (decision.isLeft()) {
      gate.refuse(call, context, decision.getLeft());
      return;
    }
    slot = decision.get();
    cancelStep = () -> {};
    // What holds for the target is checked again, as the call may have waited.
    Optional<Failure> refusal = gate.refusal(call, context);
    if (call.exchange().isEnded()) {
      slot.abandoned();
    } else if (refusal.isPresent()) {
      slot.abandoned();
      gate.refuse(call, context, refusal.orElseThrow());
    } else if (OrderRuns.isClaimed(call, context)) {
      claim();
    } else {
      run();
    }
  }

  /** The slot is free for other calls while the claim is made, as the store may be slow. */
  private void claim() {
    slot.suspend();
    gate.orders()
        .run(
            call,
            context,
            deadlineNanos,
            gate.hop()::execute,
            claimed -> {
              slot.resume();
              reply = claimed;
              run();
            },
            answer -> call.exchange().answer(answer));
  }

  private void run() {
    Optional<Failure> refusal = gate.refusal(call, context);
    if (refusal.isPresent()) {
      refuseAfterClaim(refusal.orElseThrow());
      return;
    }
    Duration remaining = Duration.ofNanos(deadlineNanos - gate.ticker().nanos());
    if (remaining.isNegative() || remaining.isZero()) {
      refuseAfterClaim(Failure.of(ResultCode.EXPIRED_IN_QUEUE));
      return;
    }
    LocalTarget target = gate.target().orElseThrow();
    inboundCall =
        gate.inbound()
            .begin(
                context,
                deadlineNanos,
                gate.protocol().passesTokens() ? Optional.empty() : call.requestId());
    cancelStep =
        gate.hop()
            .send(
                target.address(),
                call.request(),
                headers -> addTargetHeaders(headers, target, remaining),
                body,
                remaining,
                ResultCode.TARGET_DIED,
                this::ran);
  }

  private void refuseAfterClaim(Failure failure) {
    slot.abandoned();
    inboundCall = gate.inbound().begin(context, deadlineNanos, Optional.empty());
    reply.accept(gate.failure(call, inboundCall, failure));
  }

  private void addTargetHeaders(HttpHeaders headers, LocalTarget target, Duration remaining) {
    gate.protocol()
        .describe(
            new MessageHeaderFields(headers),
            new TargetCall(
                target.instance(),
                inboundCall.context().caller(),
                remaining.toMillis(),
                inboundCall.token()));
    call.orderKey().ifPresent(key -> headers.set(ArbutusHeaders.ORDER_KEY, key));
  }

  private void ran(HopOutcome outcome) {
    cancelStep = () -> {};
    if (outcome instanceof HopOutcome.Answered answered) {
      answered(answered.answer());
      return;
    }
    Failure failure = ((HopOutcome.Failed) outcome).failure();
    gate.inbound().end(inboundCall);
    if (failure.code() == ResultCode.TARGET_DIED) {
      broken(failure);
      return;
    }
    endFailed(failure.code());
    gate.noteLoss(failure);
    fail(failure);
  }

  /**
   * Tells a target that has died from one that has lost an answer: a call whose answer is lost may
   * be repeated at once, one that may have crashed its target must wait for the news of it.
   */
  private void broken(Failure failure) {
    slot.broken();
    gate.hop()
        .after(
            DEATH_EVIDENCE_NANOS,
            () ->
                fail(
                    slot.isImplicated()
                        ? failure
                        : new Failure(
                            ResultCode.OUTCOME_UNKNOWN,
                            "the target lives but has lost the answer")));
  }

  private void answered(Answer answer) {
    Optional<ResultCode> rejected = gate.rejection(call, answer);
    if (rejected.isPresent()) {
      reject(answer, rejected.orElseThrow());
      return;
    }
    gate.pass(call, inboundCall, answer);
    answer.body().whenEnded(this::answerEnded);
    reply.accept(answer);
  }

  private void answerEnded(BodyEnd end) {
    gate.inbound().end(inboundCall);
    if (end instanceof BodyEnd.Completed) {
      slot.completed();
    } else if (end instanceof BodyEnd.Failed broken) {
      endFailed(Hop.code(broken.cause(), ResultCode.TARGET_DIED));
    } else {
      slot.abandoned();
    }
  }

  private void reject(Answer answer, ResultCode code) {
    gate.inbound().end(inboundCall);
    if (code == ResultCode.TARGET_REFUSED) {
      slot.overloaded();
    } else {
      slot.abandoned();
    }
    if (code == ResultCode.OUTCOME_UNKNOWN) {
      // Later bytes on this connection would be taken for the answer to another request.
      answer.body().cancel();
    } else {
      answer.body().discard();
    }
    fail(Failure.of(code));
  }

  private void endFailed(ResultCode code) {
    switch (code) {
      case TARGET_DIED -> slot.broken();
      case DEADLINE_EXCEEDED -> slot.overloaded();
      default -> slot.abandoned();
    }
  }

  private void fail(Failure failure) {
    if (!call.exchange().isEnded()) {
      reply.accept(gate.failure(call, inboundCall, failure));
    }
  }
}
