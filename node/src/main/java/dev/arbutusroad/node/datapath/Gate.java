package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.edge.AnswerKind;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.Answer;
import java.util.Optional;

/** Admits calls from other nodes and forwards them to the local target. */
final class Gate {
  private final TargetLease lease;
  private final InboundCalls inbound;
  private final Hop hop;
  private final ClaimedOrderRunner orders;
  private final Ticker ticker;
  private final Runnable onTargetLost;
  private final GateAdmission admission;
  private final Answers answers;
  private final CallProtocol protocol;
  private final CallLog log;
  private boolean closed;

  Gate(
      TargetLease lease,
      InboundCalls inbound,
      Hop hop,
      ClaimedOrderRunner orders,
      Ticker ticker,
      Runnable onTargetLost,
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
    this.onTargetLost = onTargetLost;
  }

  /** Refuses every later call with {@link ResultCode#LEAVING}. */
  void close() {
    closed = true;
  }

  /** Forwards a call to the local target, or refuses it. */
  void handle(ReceivedCall call, CallContext context) {
    Optional<Failure> refusal = refusal(call, context);
    if (refusal.isPresent()) {
      refuse(call, context, refusal.orElseThrow());
    } else {
      new GateCall(this, call, context).start();
    }
  }

  /** Returns why the local target cannot run a call at present; empty if it can. */
  Optional<Failure> refusal(ReceivedCall call, CallContext context) {
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

  /** Refuses a call that has not been sent to the target. */
  void refuse(ReceivedCall call, CallContext context, Failure failure) {
    log.gateRefused(call, context, failure, admission.snapshot());
    Answer answer = answers.failure(failure);
    addNodeHeaders(answer, context.grant(), AdmissionLevel.OPEN);
    call.exchange().answer(answer);
  }

  /** Returns the answer to a call for which the target gave no usable answer. */
  Answer failureAnswer(ReceivedCall call, InboundCall inboundCall, Failure failure) {
    log.gateFailed(call, inboundCall.context(), targetId(), failure);
    Answer answer = answers.failure(failure);
    addNodeHeaders(answer, inboundCall.allowance().close(), inboundCall.level());
    return answer;
  }

  /** Replaces the hop-by-hop and arbutus headers of a target's answer by those of this node. */
  void prepareAnswer(ReceivedCall call, InboundCall inboundCall, Answer answer) {
    log.gateAnswered(call, inboundCall.context(), targetId(), answer.status());
    ArbutusHeaders.removeAll(answer.headers());
    HopByHopHeaders.remove(answer.headers());
    addNodeHeaders(answer, inboundCall.allowance().close(), inboundCall.level());
  }

  /** Returns why a target's answer must not be forwarded; empty if it may be. */
  Optional<ResultCode> rejection(ReceivedCall call, InboundCall inboundCall, Answer answer) {
    MessageHeaderFields fields = new MessageHeaderFields(answer.headers());
    if (!protocol.identifiesRequest(fields)) {
      answer.body().retireConnection();
    }
    AnswerKind kind =
        protocol.classifyAnswer(
            new MessageHeaderFields(call.request().headers()),
            inboundCall.token(),
            answer.status(),
            fields);
    return switch (kind) {
      case ANSWER -> Optional.empty();
      case NOT_RUN -> Optional.of(ResultCode.TARGET_REFUSED);
      case OTHER_TARGET -> Optional.of(ResultCode.NOT_READY);
      case UNUSABLE -> Optional.of(ResultCode.OUTCOME_UNKNOWN);
    };
  }

  /** Revokes the lease at once if the target refuses connections, as its process has ended. */
  void revokeIfUnreachable(Failure failure) {
    if (failure.code() == ResultCode.TARGET_UNREACHABLE && lease.target().isPresent()) {
      lease.revoke();
      onTargetLost.run();
    }
  }

  Optional<LocalTarget> target() {
    return lease.target();
  }

  InboundCalls inbound() {
    return inbound;
  }

  Hop hop() {
    return hop;
  }

  ClaimedOrderRunner orders() {
    return orders;
  }

  Ticker ticker() {
    return ticker;
  }

  GateAdmission admission() {
    return admission;
  }

  CallProtocol protocol() {
    return protocol;
  }

  private String targetId() {
    return lease.target().map(LocalTarget::instance).orElse("-");
  }

  /**
   * Adds the headers for the calling node.
   *
   * @param unused the retry allowance that was not used
   * @param downstreamLevel the strictest admission level that calls made for this one met
   */
  private void addNodeHeaders(Answer answer, int unused, AdmissionLevel downstreamLevel) {
    answer
        .headers()
        .set(ArbutusHeaders.UNUSED, Integer.toString(unused))
        .set(ArbutusHeaders.LEVEL, admission.level().max(downstreamLevel).format());
  }
}
