package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.retry.FailedAttempt;
import dev.arbutusroad.core.retry.RetryAllowance;
import dev.arbutusroad.core.retry.RetryDecision;
import dev.arbutusroad.core.route.Route;
import dev.arbutusroad.core.routing.TargetSelector;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeListener;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Routes the calls of clients and of the local target to a target of the called service, and
 * retries failed attempts.
 */
final class Exit {
  private static final int MAX_CALL_DEPTH = 64;

  private static final Map<Integer, ResultCode> CODES_BY_NUMBER =
      Arrays.stream(ResultCode.values())
          .collect(Collectors.toUnmodifiableMap(ResultCode::number, Function.identity()));

  private final Supplier<Optional<PolicyResolver>> policies;
  private final Supplier<MemberView> members;
  private final TargetSelector targets;
  private final Hop hop;
  private final ContextCodec codec;
  private final Ticker ticker;
  private final RandomGenerator random;
  private final OverloadControl overload;
  private final NodeContext nodeContext;
  private final Answers answers;
  private final CallLog log;
  private final OutgoingCallFactory callFactory;

  Exit(
      Supplier<Optional<PolicyResolver>> policies,
      Supplier<MemberView> members,
      TargetSelector targets,
      Hop hop,
      ContextCodec codec,
      Ticker ticker,
      RandomGenerator random,
      OverloadControl overload,
      NodeContext nodeContext,
      Answers answers,
      CallLog log) {
    this.policies = policies;
    this.members = members;
    this.targets = targets;
    this.hop = hop;
    this.codec = codec;
    this.ticker = ticker;
    this.random = random;
    this.callFactory = new OutgoingCallFactory(ticker, random);
    this.overload = overload;
    this.nodeContext = nodeContext;
    this.answers = answers;
    this.log = log;
  }

  /**
   * Resolves the route and the policy of a call and sends it.
   *
   * @param caller the service of the local target, or {@code external} for a client
   * @param ownRetries whether the call has a retry allowance of its own; otherwise its retries are
   *     charged to {@code parent}
   * @param parent the inbound call on whose behalf the call is made, if known
   */
  void handle(ReceivedCall call, String caller, boolean ownRetries, Optional<InboundCall> parent) {
    Optional<PolicyResolver> resolver = policies.get();
    if (resolver.isEmpty()) {
      refuse(call, Failure.of(ResultCode.NO_CONFIGURATION));
      return;
    }
    if (!call.namesHost()) {
      refuse(call, new Failure(ResultCode.BAD_REQUEST, "the request does not name a host"));
      return;
    }
    Optional<ReceivedCall> routed = route(call, resolver.orElseThrow());
    if (routed.isEmpty()) {
      refuse(call, Failure.of(ResultCode.NO_ROUTE));
      return;
    }
    ReceivedCall received = routed.orElseThrow();
    if (received.service().isEmpty()) {
      refuse(received, new Failure(ResultCode.BAD_REQUEST, "the request does not name a service"));
      return;
    }
    if (parent.isPresent() && parent.orElseThrow().context().depth() >= MAX_CALL_DEPTH) {
      refuse(received, new Failure(ResultCode.BAD_REQUEST, "the call chain is too deep"));
      return;
    }
    RequestBody.read(
        received.exchange(),
        new CallOpener(received, caller, ownRetries, parent, resolver.orElseThrow()));
  }

  /** Returns the call with its route applied, or empty if routes exist and none matches. */
  private Optional<ReceivedCall> route(ReceivedCall received, PolicyResolver resolver) {
    if (resolver.routes().isEmpty()) {
      return Optional.of(received);
    }
    Optional<Route> match = resolver.routes().orElseThrow().find(received.host(), received.path());
    if (match.isEmpty()) {
      return Optional.empty();
    }
    Route route = match.orElseThrow();
    return Optional.of(received.withRoute(route, route.draw(random)));
  }

  private void begin(OutgoingCall call) {
    ReceivedCall received = call.received();
    received.exchange().whenEnded(new CancelOnDisconnect(call, log));
    Optional<Failure> refusal = overload.checkRefusal(call);
    if (refusal.isPresent()) {
      refuse(received, refusal.orElseThrow());
    } else {
      attempt(call);
    }
  }

  private void attempt(OutgoingCall call) {
    long nowNanos = ticker.nanos();
    long remainingNanos = call.deadlineNanos() - nowNanos;
    if (remainingNanos <= 0) {
      refuse(call.received(), call.finalFailure(Failure.of(ResultCode.EXPIRED_IN_QUEUE)));
      return;
    }
    Optional<Member> selected =
        targets.select(
            members.get(),
            call.received().service(),
            call.triedMemberIds(),
            overload.preference(call.context(0, 0)),
            nowNanos);
    if (selected.isEmpty()) {
      boolean hasTargets = !members.get().serving(call.received().service()).isEmpty();
      refuse(call.received(), call.noTargetFailure(hasTargets));
      return;
    }
    send(call, selected.orElseThrow(), nowNanos, remainingNanos);
  }

  private void send(OutgoingCall call, Member member, long startedNanos, long remainingNanos) {
    int grant = call.parent().allowance().takeGrant();
    call.attemptStarted(member);
    targets.started(member, startedNanos);
    overload.attemptSent(call);
    AttemptRecorder recorder = new AttemptRecorder(targets, ticker, member, startedNanos);
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(remainingNanos);
    String context = codec.encode(call.context(grant, remainingMillis));
    ExitAttempt attempt = new ExitAttempt(call, recorder, grant, context);
    attempt.inProgress =
        hop.send(
            member.callerAddress(),
            call.received().request(),
            call.body(),
            remainingNanos,
            ResultCode.OUTCOME_UNKNOWN,
            attempt);
    call.onCancel(attempt);
  }

  private void handleOutcome(
      OutgoingCall call, AttemptRecorder recorder, int grant, HopOutcome outcome) {
    RetryAllowance allowance = call.parent().allowance();
    if (outcome instanceof HopOutcome.Failed failed) {
      recorder.refused(failed.failure().code());
      reportUnreachable(recorder.member(), failed.failure().code());
      if (failed.failure().code() == ResultCode.TARGET_UNREACHABLE) {
        allowance.returnUnused(grant, grant);
      } else {
        allowance.forfeit(grant);
      }
      handleFailedAttempt(call, recorder.member(), failed.failure());
      return;
    }
    Answer answer = ((HopOutcome.Answered) outcome).answer();
    Optional<Long> unused = ArbutusHeaders.number(answer.headers(), ArbutusHeaders.UNUSED);
    if (unused.isPresent()) {
      allowance.returnUnused(grant, unused.orElseThrow());
    } else {
      allowance.forfeit(grant);
    }
    recordLevel(call, recorder.member(), answer);
    Optional<ResultCode> code = resultCode(answer);
    boolean answeredByTarget = code.isEmpty() || code.orElseThrow() == ResultCode.TARGET_REFUSED;
    if (answeredByTarget && !call.isRepeated()) {
      overload.firstAttemptAnswered(call.received().service());
    }
    if (code.isPresent()) {
      recorder.refused(code.orElseThrow());
      answer.body().discard();
      handleFailedAttempt(call, recorder.member(), Failure.of(code.orElseThrow()));
      return;
    }
    log.answered(call, recorder.member(), answer.status(), ticker.nanos() - call.receivedNanos());
    recorder.track(answer);
    removeInternalHeaders(answer.headers());
    call.received().exchange().answer(answer);
  }

  private void recordLevel(OutgoingCall call, Member member, Answer answer) {
    Optional<AdmissionLevel> level =
        ArbutusHeaders.text(answer.headers(), ArbutusHeaders.LEVEL).flatMap(AdmissionLevel::parse);
    if (level.isPresent()) {
      overload.recordLevel(call, member, level.orElseThrow());
    }
  }

  /** Requests an immediate probe of the member; the periodic probes detect a failure much later. */
  private void reportUnreachable(Member member, ResultCode code) {
    if (code == ResultCode.TARGET_UNREACHABLE || code == ResultCode.OUTCOME_UNKNOWN) {
      nodeContext.memberUnreachable(member.id());
    }
  }

  private void handleFailedAttempt(OutgoingCall call, Member member, Failure failure) {
    call.recordFailure(failure);
    RetryDecision decision =
        overload.decideRetry(
            toFailedAttempt(call, failure.code()),
            call.context(0, 0).importance(),
            call.parent().allowance(),
            call.received().service());
    log.attemptFailed(call, member, failure, decision.rule(), decision.action().name());
    switch (decision.action()) {
      case STOP -> refuse(call.received(), call.finalFailure(failure));
      case REROUTE -> {
        call.rerouted();
        attempt(call);
      }
      default -> hop.after(decision.pauseNanos(), () -> resume(call, failure));
    }
  }

  /** Retries after the back-off, unless the request has become a crash suspect meanwhile. */
  private void resume(OutgoingCall call, Failure failure) {
    Exchange exchange = call.received().exchange();
    if (exchange.isEnded()) {
      return;
    }
    if (overload.isSuspect(call)) {
      refuse(call.received(), call.finalFailure(failure));
    } else {
      attempt(call);
    }
  }

  private FailedAttempt toFailedAttempt(OutgoingCall call, ResultCode code) {
    HttpMethod method = call.received().request().method();
    boolean hasUntriedTarget =
        members.get().serving(call.received().service()).stream()
            .anyMatch(member -> !call.triedMemberIds().contains(member.id()));
    return new FailedAttempt(
        code,
        call.policy().unrepeatable(),
        method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD),
        nodeContext.isConfigurationUnconfirmed(),
        overload.isSuspect(call),
        call.body().isAvailable(),
        hasUntriedTarget,
        call.attempts(),
        call.reroutes(),
        call.deadlineNanos() - ticker.nanos());
  }

  /** Removes the internal headers except the result headers, which are meant for the caller. */
  private static void removeInternalHeaders(HttpHeaders headers) {
    headers.remove(ArbutusHeaders.UNUSED);
    headers.remove(ArbutusHeaders.LEVEL);
    headers.remove(ArbutusHeaders.LEAVING);
    HopByHopHeaders.remove(headers);
  }

  /** Returns the result code of an answer generated by a node; empty if a target answered. */
  private static Optional<ResultCode> resultCode(Answer answer) {
    String result = answer.headers().get(ArbutusHeaders.RESULT);
    return result == null
        ? Optional.empty()
        : ArbutusHeaders.parseNumber(result.split(" ", 2)[0])
            .map(number -> CODES_BY_NUMBER.get(number.intValue()));
  }

  private void refuse(ReceivedCall received, Failure failure) {
    log.refused(received, failure, policies.get().map(PolicyResolver::version).orElse(0L));
    received.exchange().answer(answers.failure(failure));
  }

  /** Creates and starts the call once its request body can be sent. */
  private final class CallOpener implements Consumer<RequestBody> {
    private final ReceivedCall received;
    private final String caller;
    private final boolean ownRetries;
    private final Optional<InboundCall> parent;
    private final PolicyResolver resolver;

    CallOpener(
        ReceivedCall received,
        String caller,
        boolean ownRetries,
        Optional<InboundCall> parent,
        PolicyResolver resolver) {
      this.received = received;
      this.caller = caller;
      this.ownRetries = ownRetries;
      this.parent = parent;
      this.resolver = resolver;
    }

    @Override
    public void accept(RequestBody body) {
      begin(callFactory.create(received, caller, ownRetries, parent, resolver, body));
    }
  }

  /** Cancels a call whose exchange ends before the answer is complete. */
  private record CancelOnDisconnect(OutgoingCall call, CallLog log) implements ExchangeListener {
    @Override
    public void exchangeEnded(boolean complete) {
      if (!complete) {
        log.cancelled(call.received());
        call.cancel();
      }
    }
  }

  /** One attempt of a call at one target. */
  private final class ExitAttempt implements HopListener, Cancellable {
    private final OutgoingCall call;
    private final AttemptRecorder recorder;
    private final int grant;
    private final String context;
    private Cancellable inProgress = Cancellable.NO_OP;

    ExitAttempt(OutgoingCall call, AttemptRecorder recorder, int grant, String context) {
      this.call = call;
      this.recorder = recorder;
      this.grant = grant;
      this.context = context;
    }

    @Override
    public void addHeaders(HttpHeaders headers) {
      call.received().addForwardedHeaders(headers);
      headers.set(ArbutusHeaders.CONTEXT, context);
    }

    @Override
    public void attemptEnded(HopOutcome outcome) {
      handleOutcome(call, recorder, grant, outcome);
    }

    @Override
    public void cancel() {
      inProgress.cancel();
      recorder.abandoned();
    }
  }
}
