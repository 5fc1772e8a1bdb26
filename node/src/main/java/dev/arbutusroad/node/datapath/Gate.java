package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.edge.AnswerVerdict;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.edge.TargetCall;
import dev.arbutusroad.core.fatal.FatalRequests;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.time.Ticker;
import io.servicetalk.concurrent.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Takes calls from other nodes and runs them on the local target. */
final class Gate {
  /** Longer than it takes to conclude from broken connections whether the target has died. */
  private static final long DEATH_EVIDENCE_NANOS =
      FatalRequests.GRACE_NANOS + TimeUnit.MILLISECONDS.toNanos(10);

  private final TargetLease lease;
  private final InboundCalls inbound;
  private final Hop hop;
  private final OrderRuns orders;
  private final Ticker ticker;
  private final Runnable targetLost;
  private final GateAdmission admission;
  private final Answers answers;
  private final CallProtocol protocol;
  private final CallLog log;
  private boolean closed;

  Gate(
      TargetLease lease,
      InboundCalls inbound,
      Hop hop,
      OrderRuns orders,
      Ticker ticker,
      Runnable targetLost,
      GateAdmission admission,
      Answers answers,
      CallProtocol protocol,
      CallLog log) {
    this.answers = answers;
    this.protocol = protocol;
    this.log = log;
    this.admission = admission;
    this.lease = lease;
    this.inbound = inbound;
    this.hop = hop;
    this.orders = orders;
    this.ticker = ticker;
    this.targetLost = targetLost;
  }

  /** Refuses every later call, because the node leaves. */
  void close() {
    closed = true;
  }

  Single<StreamingHttpResponse> handle(ReceivedCall call, CallContext context) {
    long deadlineNanos = ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(context.remainingMillis());
    Optional<Failure> refusal = refusal(call, context);
    if (refusal.isPresent()) {
      return Single.succeeded(refuse(call, context, refusal.orElseThrow()));
    }
    return RequestBody.of(call.request())
        .flatMap(
            body ->
                admission
                    .admit(context, call.fingerprint(body), deadlineNanos)
                    .flatMap(
                        admitted ->
                            admitted.fold(
                                failure -> Single.succeeded(refuse(call, context, failure)),
                                slot -> admitted(call, context, slot, body, deadlineNanos))));
  }

  /** Runs the call; what holds for the target is checked again, as the call may have waited. */
  private Single<StreamingHttpResponse> admitted(
      ReceivedCall call,
      CallContext context,
      GateAdmission.Slot slot,
      RequestBody body,
      long deadlineNanos) {
    Optional<Failure> refusal =
        lease.target().isEmpty() ? refusal(call, context) : Optional.empty();
    if (refusal.isPresent()) {
      slot.abandoned();
      return Single.succeeded(refuse(call, context, refusal.orElseThrow()));
    }
    LocalTarget target = lease.target().orElseThrow();
    Single<StreamingHttpResponse> answer =
        OrderRuns.isClaimed(call, context)
            ? claimAndRun(call, context, target, slot, body, deadlineNanos)
            : run(call, context, target, slot, body, deadlineNanos);
    return slot.abandonAtEnd(answer);
  }

  /** The slot is free for other calls while the claim is made, as the store may be slow. */
  private Single<StreamingHttpResponse> claimAndRun(
      ReceivedCall call,
      CallContext context,
      LocalTarget target,
      GateAdmission.Slot slot,
      RequestBody body,
      long deadlineNanos) {
    slot.suspend();
    Executor eventLoop = hop.eventLoop(target.address());
    return orders.run(
        call,
        context,
        deadlineNanos,
        task -> eventLoop.execute(task),
        () -> {
          slot.resume();
          return run(call, context, target, slot, body, deadlineNanos);
        });
  }

  private Optional<Failure> refusal(ReceivedCall call, CallContext context) {
    if (closed || lease.isLeaving()) {
      return Optional.of(Failure.of(ResultCode.LEAVING));
    }
    Optional<LocalTarget> target = lease.target();
    if (target.isEmpty()) {
      return Optional.of(new Failure(ResultCode.NOT_READY, "no target has announced itself"));
    }
    if (!target.orElseThrow().service().equals(call.service())) {
      return Optional.of(
          new Failure(ResultCode.NO_SERVICE, "this node does not serve " + call.service()));
    }
    if (context.remainingMillis() <= 0) {
      return Optional.of(Failure.of(ResultCode.EXPIRED_IN_QUEUE));
    }
    return Optional.empty();
  }

  private Single<StreamingHttpResponse> run(
      ReceivedCall call,
      CallContext context,
      LocalTarget target,
      GateAdmission.Slot slot,
      RequestBody body,
      long deadlineNanos) {
    Duration remaining = Duration.ofNanos(deadlineNanos - ticker.nanos());
    if (remaining.isNegative() || remaining.isZero()) {
      slot.abandoned();
      return Single.succeeded(refuse(call, context, Failure.of(ResultCode.EXPIRED_IN_QUEUE)));
    }
    InboundCall inboundCall =
        inbound.begin(
            context, deadlineNanos, protocol.passesTokens() ? Optional.empty() : call.requestId());
    return hop.send(
            target.address(),
            call.request(),
            headers -> addTargetHeaders(headers, call, target, inboundCall, remaining),
            body,
            remaining,
            ResultCode.TARGET_DIED)
        .flatMap(
            outcome ->
                isBroken(outcome)
                    ? broken(call, inboundCall, slot, target, (HopOutcome.Failed) outcome)
                    : Single.succeeded(answer(call, inboundCall, slot, outcome)))
        .beforeCancel(() -> inbound.end(inboundCall));
  }

  private static boolean isBroken(HopOutcome outcome) {
    return outcome instanceof HopOutcome.Failed failed
        && failed.failure().code() == ResultCode.TARGET_DIED;
  }

  /**
   * Tells a target that has died from one that has lost an answer: a call whose answer is lost may
   * be repeated at once, one that may have crashed its target must wait for the news of it.
   */
  private Single<StreamingHttpResponse> broken(
      ReceivedCall call,
      InboundCall inboundCall,
      GateAdmission.Slot slot,
      LocalTarget target,
      HopOutcome.Failed failed) {
    inbound.end(inboundCall);
    slot.broken();
    return hop.pause(target.address(), DEATH_EVIDENCE_NANOS)
        .concat(
            Single.fromSupplier(
                () ->
                    failure(
                        call,
                        inboundCall,
                        slot.isImplicated()
                            ? failed.failure()
                            : new Failure(
                                ResultCode.OUTCOME_UNKNOWN,
                                "the target lives but has lost the answer"))));
  }

  private void addTargetHeaders(
      HttpHeaders headers,
      ReceivedCall call,
      LocalTarget target,
      InboundCall inboundCall,
      Duration remaining) {
    protocol.describe(
        new StreamingHeaderFields(headers),
        new TargetCall(
            target.instance(),
            inboundCall.context().caller(),
            remaining.toMillis(),
            inboundCall.token()));
    call.orderKey().ifPresent(key -> headers.set(ArbutusHeaders.ORDER_KEY, key));
  }

  private StreamingHttpResponse answer(
      ReceivedCall call, InboundCall inboundCall, GateAdmission.Slot slot, HopOutcome outcome) {
    if (outcome instanceof HopOutcome.Failed failed) {
      inbound.end(inboundCall);
      endFailed(slot, failed.failure().code());
      noteLoss(failed.failure());
      return failure(call, inboundCall, failed.failure());
    }
    StreamingHttpResponse response = ((HopOutcome.Answered) outcome).response();
    Optional<ResultCode> rejected = rejection(call, response);
    if (rejected.isPresent()) {
      return reject(call, inboundCall, slot, response, rejected.orElseThrow());
    }
    log.gateAnswered(call, inboundCall.context(), targetId(), response.status().code());
    ArbutusHeaders.removeAll(response.headers());
    HopByHopHeaders.remove(response.headers());
    addNodeHeaders(response, inboundCall.allowance().close(), inboundCall.level());
    return response.transformPayloadBody(
        body ->
            body.beforeOnComplete(slot::completed)
                .beforeOnError(error -> endFailed(slot, Hop.code(error, ResultCode.TARGET_DIED)))
                .beforeCancel(slot::abandoned)
                .beforeFinally(() -> inbound.end(inboundCall)));
  }

  private static void endFailed(GateAdmission.Slot slot, ResultCode code) {
    switch (code) {
      case TARGET_DIED -> slot.broken();
      case DEADLINE_EXCEEDED -> slot.overloaded();
      default -> slot.abandoned();
    }
  }

  /** A refused connection says that the target process is gone; its lease need not run out. */
  private void noteLoss(Failure failure) {
    if (failure.code() == ResultCode.TARGET_UNREACHABLE && lease.target().isPresent()) {
      lease.revoke();
      targetLost.run();
    }
  }

  /** Why an answer of the target must not be passed on; empty if it may be. */
  private Optional<ResultCode> rejection(ReceivedCall call, StreamingHttpResponse response) {
    AnswerVerdict verdict =
        protocol.judge(
            new StreamingHeaderFields(call.request().headers()),
            response.status().code(),
            new StreamingHeaderFields(response.headers()));
    return switch (verdict) {
      case ANSWER -> Optional.empty();
      case NOT_RUN -> Optional.of(ResultCode.TARGET_REFUSED);
      case OTHER_TARGET -> Optional.of(ResultCode.NOT_READY);
      case UNUSABLE -> Optional.of(ResultCode.OUTCOME_UNKNOWN);
    };
  }

  private StreamingHttpResponse reject(
      ReceivedCall call,
      InboundCall inboundCall,
      GateAdmission.Slot slot,
      StreamingHttpResponse response,
      ResultCode code) {
    inbound.end(inboundCall);
    if (code == ResultCode.TARGET_REFUSED) {
      slot.overloaded();
    } else {
      slot.abandoned();
    }
    if (code == ResultCode.OUTCOME_UNKNOWN) {
      // Later bytes on this connection would be taken for the answer to another request.
      response.payloadBody().ignoreElements().subscribe().cancel();
    } else {
      response.payloadBody().ignoreElements().subscribe();
    }
    return failure(call, inboundCall, Failure.of(code));
  }

  private StreamingHttpResponse failure(
      ReceivedCall call, InboundCall inboundCall, Failure failure) {
    log.gateFailed(call, inboundCall.context(), targetId(), failure);
    StreamingHttpResponse response = answers.failure(call.factory(), failure);
    addNodeHeaders(response, inboundCall.allowance().close(), inboundCall.level());
    return response;
  }

  private StreamingHttpResponse refuse(ReceivedCall call, CallContext context, Failure failure) {
    log.gateRefused(call, context, failure, admission.snapshot());
    StreamingHttpResponse response = answers.failure(call.factory(), failure);
    addNodeHeaders(response, context.grant(), AdmissionLevel.OPEN);
    return response;
  }

  private String targetId() {
    return lease.target().map(LocalTarget::instance).orElse("-");
  }

  /** Tells the calling node what it may spend again and which calls are refused here or deeper. */
  private void addNodeHeaders(StreamingHttpResponse response, int unused, AdmissionLevel deeper) {
    response
        .headers()
        .set(ArbutusHeaders.UNUSED, Integer.toString(unused))
        .set(ArbutusHeaders.LEVEL, admission.level().max(deeper).format());
  }
}
