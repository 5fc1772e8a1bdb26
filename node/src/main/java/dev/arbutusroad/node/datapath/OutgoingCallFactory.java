package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.time.Ticker;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Resolves the terms of a call: its importance, its deadline and who pays for its retries. */
final class OutgoingCallFactory {
  private final Ticker ticker;
  private final RandomGenerator random;

  OutgoingCallFactory(Ticker ticker, RandomGenerator random) {
    this.ticker = ticker;
    this.random = random;
  }

  /**
   * Opens a call.
   *
   * @param caller the service of the local target, or {@code external} for a client
   * @param ownRetries whether the call has retries of its own
   * @param parent the call that it is made for, if it is known
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
    CallContext template =
        parent.isPresent()
            ? child(parent.orElseThrow(), policy, grant, caller, resolver.version())
            : original(policy, grant, ownRetries, caller, resolver.version());
    InboundCall payer =
        ownRetries || parent.isEmpty()
            ? new InboundCall("", template, deadlineNanos, parent)
            : parent.orElseThrow();
    return new OutgoingCall(received, policy, payer, template, ticker.nanos(), deadlineNanos, body);
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

  /** A target's call without a context is background work unless a rule gives its importance. */
  private static int importance(CallPolicy policy, boolean ownRetries) {
    boolean byDefault = policy.kind().equals(CallPolicy.DEFAULT_KIND);
    return ownRetries || !byDefault
        ? policy.importance()
        : Math.min(policy.importance(), CallPolicy.NORMAL_IMPORTANCE - 1);
  }

  private long deadline(ReceivedCall received, CallPolicy policy, Optional<InboundCall> parent) {
    long limitMillis = policy.deadlineMillis();
    if (received.deadlineMillis().isPresent()) {
      limitMillis = Math.min(limitMillis, received.deadlineMillis().orElseThrow());
    }
    long own =
        ticker.nanos()
            - received.exchange().waitedNanos()
            + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    return parent.isPresent() ? Math.min(parent.orElseThrow().deadlineNanos(), own) : own;
  }
}
