package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.TargetCall;
import dev.arbutusroad.core.fatal.FatalRequests;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.BodyEnd;
import dev.arbutusroad.http.BodyListener;
import dev.arbutusroad.http.ExchangeListener;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The state machine of one call at the gate, from admission to the end of its answer. */
final class GateCall
    implements ExchangeListener,
        BodyListener,
        HopListener,
        GateAdmission.AdmissionListener,
        Consumer<RequestBody> {
  /** Exceeds the time in which broken connections show whether the target has died. */
  private static final long DEATH_DETECTION_NANOS =
      FatalRequests.GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(10);

  private final Gate gate;
  private final ReceivedCall call;
  private final CallContext context;
  private final long deadlineNanos;
  private RequestBody body;
  private GateAdmission.Slot slot;
  private InboundCall inboundCall;
  private LocalTarget target;
  private long remainingNanos;
  private Optional<Consumer<Answer>> claimReply = Optional.empty();
  private Cancellable pendingOperation = Cancellable.NO_OP;

  GateCall(Gate gate, ReceivedCall call, CallContext context) {
    this.gate = gate;
    this.call = call;
    this.context = context;
    deadlineNanos =
        gate.ticker().nanos() + TimeUnit.MILLISECONDS.toNanos(context.remainingMillis());
  }

  void start() {
    call.exchange().whenEnded(this);
    RequestBody.read(call.exchange(), this);
  }

  @Override
  public void exchangeEnded(boolean complete) {
    if (!complete) {
      pendingOperation.cancel();
    }
    if (inboundCall != null) {
      gate.inbound().end(inboundCall);
    }
    if (slot != null) {
      slot.abandoned();
    }
  }

  /** Requests admission as soon as the body of the request is available. */
  @Override
  public void accept(RequestBody requestBody) {
    body = requestBody;
    Cancellable admission =
        gate.admission().admit(context, call.fingerprint(body), deadlineNanos, this);
    if (slot == null) {
      pendingOperation = admission;
    }
  }

  @Override
  public void refused(Failure failure) {
    gate.refuse(call, context, failure);
  }

  @Override
  public void admitted(GateAdmission.Slot granted) {
    slot = granted;
    pendingOperation = Cancellable.NO_OP;
    // The state of the target may have changed while the call was queued.
    Optional<Failure> refusal = gate.refusal(call, context);
    if (call.exchange().isEnded()) {
      slot.abandoned();
    } else if (refusal.isPresent()) {
      slot.abandoned();
      gate.refuse(call, context, refusal.orElseThrow());
    } else if (ClaimedOrderRunner.isClaimed(call, context)) {
      claim();
    } else {
      run();
    }
  }

  /** Claims the order. The slot is free for other calls meanwhile, as the store may be slow. */
  private void claim() {
    slot.suspend();
    gate.orders()
        .run(
            call,
            context,
            deadlineNanos,
            gate.hop()::execute,
            replyThroughClaim -> {
              slot.resume();
              claimReply = Optional.of(replyThroughClaim);
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
    remainingNanos = deadlineNanos - gate.ticker().nanos();
    if (remainingNanos <= 0) {
      refuseAfterClaim(Failure.of(ResultCode.EXPIRED_IN_QUEUE));
      return;
    }
    target = gate.target().orElseThrow();
    inboundCall =
        gate.inbound()
            .begin(
                context,
                deadlineNanos,
                gate.protocol().passesTokens() ? Optional.empty() : call.requestId());
    pendingOperation =
        gate.hop()
            .send(
                target.address(),
                call.request(),
                body,
                remainingNanos,
                ResultCode.TARGET_DIED,
                this);
  }

  /** Answers the caller, through the claim if there is one, so that the answer is recorded. */
  private void reply(Answer answer) {
    if (claimReply.isPresent()) {
      claimReply.orElseThrow().accept(answer);
    } else {
      call.exchange().answer(answer);
    }
  }

  private void refuseAfterClaim(Failure failure) {
    slot.abandoned();
    inboundCall = gate.inbound().begin(context, deadlineNanos, Optional.empty());
    reply(gate.failureAnswer(call, inboundCall, failure));
  }

  @Override
  public void addHeaders(HttpHeaders headers) {
    gate.protocol()
        .describe(
            new MessageHeaderFields(headers),
            new TargetCall(
                target.instance(),
                inboundCall.context().caller(),
                TimeUnit.NANOSECONDS.toMillis(remainingNanos),
                inboundCall.token()));
    if (call.orderKey().isPresent()) {
      headers.set(ArbutusHeaders.ORDER_KEY, call.orderKey().orElseThrow());
    }
  }

  @Override
  public void attemptEnded(HopOutcome outcome) {
    pendingOperation = Cancellable.NO_OP;
    if (outcome instanceof HopOutcome.Answered answered) {
      answered(answered.answer());
      return;
    }
    Failure failure = ((HopOutcome.Failed) outcome).failure();
    gate.inbound().end(inboundCall);
    if (failure.code() == ResultCode.TARGET_DIED) {
      connectionBroken(failure);
      return;
    }
    releaseFailed(failure.code());
    gate.revokeIfUnreachable(failure);
    fail(failure);
  }

  /**
   * Answers after {@link #DEATH_DETECTION_NANOS}, when it is known whether the target died or only
   * lost this answer. A call whose answer was lost may be retried at once; one that may have
   * crashed its target must not be, until other nodes know that it is a suspect.
   */
  private void connectionBroken(Failure failure) {
    slot.connectionBroken();
    gate.hop()
        .after(
            DEATH_DETECTION_NANOS,
            () ->
                fail(
                    slot.isImplicated()
                        ? failure
                        : new Failure(
                            ResultCode.OUTCOME_UNKNOWN,
                            "the target is alive but its answer was lost")));
  }

  private void answered(Answer answer) {
    Optional<ResultCode> rejection = gate.rejection(call, inboundCall, answer);
    if (rejection.isPresent()) {
      reject(answer, rejection.orElseThrow());
      return;
    }
    gate.prepareAnswer(call, inboundCall, answer);
    answer.body().whenEnded(this);
    reply(answer);
  }

  /** Releases the slot when the body of the target's answer has ended. */
  @Override
  public void bodyEnded(BodyEnd end) {
    gate.inbound().end(inboundCall);
    if (end instanceof BodyEnd.Completed) {
      slot.completed();
    } else if (end instanceof BodyEnd.Failed failed) {
      releaseFailed(Hop.failureCode(failed.cause(), ResultCode.TARGET_DIED));
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
      // Reusing the connection could assign later bytes to the answer of another request.
      answer.body().cancel();
    } else {
      answer.body().discard();
    }
    fail(Failure.of(code));
  }

  private void releaseFailed(ResultCode code) {
    switch (code) {
      case TARGET_DIED -> slot.connectionBroken();
      case DEADLINE_EXCEEDED -> slot.overloaded();
      default -> slot.abandoned();
    }
  }

  private void fail(Failure failure) {
    if (!call.exchange().isEnded()) {
      reply(gate.failureAnswer(call, inboundCall, failure));
    }
  }
}
