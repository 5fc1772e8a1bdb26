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

/** The state of one outgoing call across all its attempts. */
final class OutgoingCall {
  private final ReceivedCall received;
  private final CallPolicy policy;
  private final InboundCall parent;
  private final CallContext contextTemplate;
  private final long receivedNanos;
  private final long deadlineNanos;
  private final RequestBody body;
  private Fingerprint fingerprint;
  private final Set<String> triedMemberIds = new HashSet<>(2);
  private int attempts;
  private int reroutes;
  private boolean mayHaveReachedTarget;
  private Cancellable attemptInProgress = Cancellable.NO_OP;
  private Optional<Failure> lastFailure = Optional.empty();

  /**
   * Creates the call.
   *
   * @param parent holds the retry allowance: the inbound call being served, or the original request
   *     itself
   * @param contextTemplate the context of every attempt, except for the grant and the remaining
   *     time
   */
  OutgoingCall(
      ReceivedCall received,
      CallPolicy policy,
      InboundCall parent,
      CallContext contextTemplate,
      long receivedNanos,
      long deadlineNanos,
      RequestBody body) {
    this.received = received;
    this.policy = policy;
    this.parent = parent;
    this.contextTemplate = contextTemplate;
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

  /** Returns the fingerprint for crash detection, computed on first use. */
  Fingerprint fingerprint() {
    if (fingerprint == null) {
      fingerprint = received.fingerprint(body);
    }
    return fingerprint;
  }

  Set<String> triedMemberIds() {
    return triedMemberIds;
  }

  int attempts() {
    return attempts;
  }

  int reroutes() {
    return reroutes;
  }

  /** Returns the context to send with an attempt. */
  CallContext context(int grant, long remainingMillis) {
    return new CallContext(
        contextTemplate.originId(),
        contextTemplate.kind(),
        contextTemplate.importance(),
        contextTemplate.unrepeatable(),
        grant,
        remainingMillis,
        contextTemplate.caller(),
        contextTemplate.depth(),
        contextTemplate.configurationVersion(),
        isRepeated());
  }

  /** Returns the class of calls that share their admission levels with this call. */
  CallClass callClass() {
    return contextTemplate.callClass();
  }

  /** Returns whether an earlier attempt, of this call or upstream, may have reached a target. */
  boolean isRepeated() {
    return mayHaveReachedTarget || contextTemplate.repeated();
  }

  void attemptStarted(Member member) {
    attempts++;
    triedMemberIds.add(member.id());
  }

  /** Sets the attempt that {@link #cancel} cancels. */
  void onCancel(Cancellable inProgress) {
    attemptInProgress = inProgress;
  }

  /** Cancels the attempt in progress; has no effect if it has already ended. */
  void cancel() {
    attemptInProgress.cancel();
  }

  void rerouted() {
    reroutes++;
  }

  /**
   * Records a failed attempt. A failure after which the request may have run is not replaced by one
   * after which it has not.
   */
  void recordFailure(Failure failure) {
    mayHaveReachedTarget |=
        failure.code() == ResultCode.TARGET_REFUSED
            || failure.code().runState() != RunState.NOT_RUN;
    boolean lastMayHaveRun =
        lastFailure.filter(last -> last.code().runState() != RunState.NOT_RUN).isPresent();
    if (!lastMayHaveRun || failure.code().runState() != RunState.NOT_RUN) {
      lastFailure = Optional.of(failure);
    }
  }

  /** Records a failure and returns the one to report when no further attempt is made. */
  Failure finalFailure(Failure failure) {
    recordFailure(failure);
    return lastFailure.orElseThrow();
  }

  /**
   * Returns the failure to report when no target is left to try.
   *
   * @param hasTargets whether the service currently has serving targets
   */
  Failure noTargetFailure(boolean hasTargets) {
    String service = received.service();
    return lastFailure.orElseGet(
        () ->
            hasTargets
                ? new Failure(
                    ResultCode.TARGET_UNREACHABLE, "no target of " + service + " is available")
                : new Failure(
                    ResultCode.NO_SERVICE, "service " + service + " has no serving target"));
  }
}
