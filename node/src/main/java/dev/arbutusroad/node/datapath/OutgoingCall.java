package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.CallClass;
import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.fatal.Fingerprint;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.result.RunState;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The state of one outgoing call over all its attempts. */
final class OutgoingCall {
  private final ReceivedCall received;
  private final CallPolicy policy;
  private final InboundCall parent;
  private final CallContext template;
  private final long receivedNanos;
  private final long deadlineNanos;
  private final RequestBody body;
  private Fingerprint fingerprint;
  private final Set<String> tried = new HashSet<>(2);
  private int attempts;
  private int reroutes;
  private boolean reached;
  private Cancellable attempt = Cancellable.NO_OP;
  private Optional<Failure> lastFailure = Optional.empty();

  /**
   * Creates the call.
   *
   * @param parent holds the allowance: the call being served, or the original request itself
   * @param template the context of every attempt, but for grant and remaining time
   */
  OutgoingCall(
      ReceivedCall received,
      CallPolicy policy,
      InboundCall parent,
      CallContext template,
      long receivedNanos,
      long deadlineNanos,
      RequestBody body) {
    this.received = received;
    this.policy = policy;
    this.parent = parent;
    this.template = template;
    this.receivedNanos = receivedNanos;
    this.deadlineNanos = deadlineNanos;
    this.body = body;
  }

  ReceivedCall received() {
    return received;
  }

  CallPolicy policy() {
    return policy;
  }

  InboundCall parent() {
    return parent;
  }

  long receivedNanos() {
    return receivedNanos;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  RequestBody body() {
    return body;
  }

  /** What identifies the request if it crashes targets; computed when it is first asked for. */
  Fingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = received.fingerprint(body);
    }
    return fingerprint;
  }

  Set<String> tried() {
    return tried;
  }

  int attempts() {
    return attempts;
  }

  int reroutes() {
    return reroutes;
  }

  /** The context of an attempt. */
  CallContext context(int grant, long remainingMillis) {
    return new CallContext(
        template.originId(),
        template.kind(),
        template.importance(),
        template.unrepeatable(),
        grant,
        remainingMillis,
        template.caller(),
        template.depth(),
        template.configurationVersion(),
        isRepeated());
  }

  /** The calls that meet the same levels as this one. */
  CallClass callClass() {
    return template.callClass();
  }

  /** Whether the next attempt is not the first that may reach a target, here or further up. */
  boolean isRepeated() {
    return reached || template.repeated();
  }

  void started(Member member) {
    attempts++;
    tried.add(member.id());
  }

  /** Sets how the attempt in progress is cancelled. */
  void onCancel(Cancellable inProgress) {
    attempt = inProgress;
  }

  /** Cancels the attempt in progress; has no effect if it has ended. */
  void cancel() {
    attempt.cancel();
  }

  void rerouted() {
    reroutes++;
  }

  /** Notes a failed attempt. Once the request may have run, no later refusal changes that. */
  void failed(Failure failure) {
    reached |=
        failure.code() == ResultCode.TARGET_REFUSED
            || failure.code().runState() != RunState.NOT_RUN;
    boolean mayHaveRun =
        lastFailure.filter(last -> last.code().runState() != RunState.NOT_RUN).isPresent();
    if (!mayHaveRun || failure.code().runState() != RunState.NOT_RUN) {
      lastFailure = Optional.of(failure);
    }
  }

  /** What the caller is told when no attempt is made after a failure. */
  Failure finalFailure(Failure failure) {
    failed(failure);
    return lastFailure.orElseThrow();
  }

  /**
   * What the caller is told when there is no target left to try.
   *
   * @param known whether the service has targets at present
   */
  Failure failure(boolean known) {
    String service = received.service();
    return lastFailure.orElseGet(
        () ->
            known
                ? new Failure(
                    ResultCode.TARGET_UNREACHABLE, "no target of " + service + " is usable")
                : new Failure(
                    ResultCode.NO_SERVICE, "no target of service " + service + " serves"));
  }
}
