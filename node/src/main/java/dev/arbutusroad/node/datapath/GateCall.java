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

/** One call at the gate, from its admission to the end of its answer. */
final class GateCall
    implements ExchangeListener,
        BodyListener,
        HopListener,
        GateAdmission.Applicant,
        Consumer<RequestBody> {
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
  private LocalTarget target;
  private long remainingNanos;
  private Optional<Consumer<Answer>> claimedReply = Optional.empty();
  private Cancellable step = Cancellable.NOTHING;

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
      step.cancel();
    }
    if (inboundCall != null) {
      gate.inbound().end(inboundCall);
    }
    if (slot != null) {
      slot.abandoned();
    }
  }

  /** Takes the body of the request: the call may run. */
  @Override
  public void accept(RequestBody read) {
    body = read;
    Cancellable wait = gate.admission().admit(context, call.fingerprint(body), deadlineNanos, this);
    if (slot == null) {
      step = wait;
    }
  }

  @Override
  public void refused(Failure failure) {
    gate.refuse(call, context, failure);
  }

  @Override
  public void admitted(GateAdmission.Slot granted) {
    slot = granted;
    step = Cancellable.NOTHING;
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
              claimedReply = Optional.of(claimed);
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
    step =
        gate.hop()
            .send(
                target.address(),
                call.request(),
                body,
                remainingNanos,
                ResultCode.TARGET_DIED,
                this);
  }

  /** Answers the caller, by way of the claim if the call has one. */
  private void reply(Answer answer) {
    if (claimedReply.isPresent()) {
      claimedReply.orElseThrow().accept(answer);
    } else {
      call.exchange().answer(answer);
    }
  }

  private void refuseAfterClaim(Failure failure) {
    slot.abandoned();
    inboundCall = gate.inbound().begin(context, deadlineNanos, Optional.empty());
    reply(gate.failure(call, inboundCall, failure));
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
    step = Cancellable.NOTHING;
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
    Optional<ResultCode> rejected = gate.rejection(call, inboundCall, answer);
    if (rejected.isPresent()) {
      reject(answer, rejected.orElseThrow());
      return;
    }
    gate.pass(call, inboundCall, answer);
    answer.body().whenEnded(this);
    reply(answer);
  }

  /** The answer of the target has ended. */
  @Override
  public void bodyEnded(BodyEnd end) {
    gate.inbound().end(inboundCall);
    if (end instanceof BodyEnd.Completed) {
      slot.completed();
    } else if (end instanceof BodyEnd.Failed broken) {
      endFailed(Hop.failureCode(broken.cause(), ResultCode.TARGET_DIED));
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
      reply(gate.failure(call, inboundCall, failure));
    }
  }
}
