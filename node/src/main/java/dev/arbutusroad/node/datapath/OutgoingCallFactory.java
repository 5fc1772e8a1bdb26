package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.time.Ticker;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Creates outgoing calls: resolves their policy, deadline and retry allowance. */
final class OutgoingCallFactory {
  private final Ticker ticker;
  private final RandomGenerator random;

  OutgoingCallFactory(Ticker ticker, RandomGenerator random) {
    this.ticker = ticker;
    this.random = random;
  }

  /**
   * Creates a call.
   *
   * @param caller the service of the local target, or {@code external} for a client
   * @param ownRetries whether the call has a retry allowance of its own
   * @param parent the inbound call on whose behalf it is made, if known
   */
  OutgoingCall create(
      ReceivedCall received,
      String caller,
      boolean ownRetries,
      Optional<InboundCall> parent,
      PolicyResolver resolver,
      RequestBody body) {
    CallAttributes attributes = received.attributes(caller);
    CallPolicy policy = resolver.resolve(attributes);
    long deadlineNanos = deadline(received, policy, parent);
    int grant = ownRetries ? policy.retryAllowance() : 0;
    CallContext contextTemplate =
        parent.isPresent()
            ? child(parent.orElseThrow(), policy, grant, caller, resolver.version())
            : original(policy, grant, ownRetries, caller, resolver.version());
    InboundCall allowanceHolder =
        ownRetries || parent.isEmpty()
            ? new InboundCall("", contextTemplate, deadlineNanos, parent)
            : parent.orElseThrow();
    return new OutgoingCall(
        received, policy, allowanceHolder, contextTemplate, ticker.nanos(), deadlineNanos, body);
  }

  private CallContext original(
      CallPolicy policy, int grant, boolean ownRetries, String caller, long version) {
    return new CallContext(
        random.nextLong(),
        policy.kind(),
        importance(policy, ownRetries),
        policy.unrepeatable(),
        grant,
        0,
        caller,
        1,
        version,
        false);
  }

  private static CallContext child(
      InboundCall parent, CallPolicy policy, int grant, String caller, long version) {
    CallContext context = parent.context();
    return new CallContext(
        context.originId(),
        policy.kind(),
        context.importance(),
        policy.unrepeatable(),
        grant,
        0,
        caller,
        context.depth() + 1,
        version,
        context.repeated());
  }

  /**
   * Returns the importance of a call without a parent. A call of a target is taken as background
   * work unless a rule sets its importance.
   */
  private static int importance(CallPolicy policy, boolean ownRetries) {
    boolean hasDefaultKind = policy.kind().equals(CallPolicy.DEFAULT_KIND);
    return ownRetries || !hasDefaultKind
        ? policy.importance()
        : Math.min(policy.importance(), CallPolicy.NORMAL_IMPORTANCE - 1);
  }

  private long deadline(ReceivedCall received, CallPolicy policy, Optional<InboundCall> parent) {
    long limitMillis = policy.deadlineMillis();
    if (received.deadlineMillis().isPresent()) {
      limitMillis = Math.min(limitMillis, received.deadlineMillis().orElseThrow());
    }
    long ownDeadlineNanos =
        ticker.nanos()
            - received.exchange().waitedNanos()
            + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    return parent.isPresent()
        ? Math.min(parent.orElseThrow().deadlineNanos(), ownDeadlineNanos)
        : ownDeadlineNanos;
  }
}
