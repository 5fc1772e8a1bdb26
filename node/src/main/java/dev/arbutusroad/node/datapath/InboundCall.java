package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.retry.RetryAllowance;
import java.util.Optional;

/**
 * A call that a target is running, or an original request that this node received.
 *
 * <p>Holds the remaining retry allowance for the calls made on its behalf. Owned by the data path.
 */
final class InboundCall {
  private final String token;
  private final CallContext context;
  private final long deadlineNanos;
  private final RetryAllowance allowance;
  private final Optional<InboundCall> upstream;
  private AdmissionLevel level = AdmissionLevel.OPEN;

  InboundCall(String token, CallContext context, long deadlineNanos) {
    this(token, context, deadlineNanos, Optional.empty());
  }

  /**
   * Creates the call.
   *
   * @param upstream the call on whose behalf this one is made, if this one has an allowance of its
   *     own
   */
  InboundCall(
      String token, CallContext context, long deadlineNanos, Optional<InboundCall> upstream) {
    this.upstream = upstream;
    this.token = token;
    this.context = context;
    this.deadlineNanos = deadlineNanos;
    this.allowance = new RetryAllowance(context.grant());
  }

  String token() {
    return token;
  }

  CallContext context() {
    return context;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the remaining retries. */
  RetryAllowance allowance() {
    return allowance;
  }

  /** Records the admission level observed by a call made on behalf of this one. */
  void recordLevel(AdmissionLevel observed) {
    level = level.max(observed);
    if (upstream.isPresent()) {
      InboundCall call = upstream.orElseThrow();
      call.recordLevel(observed);
    }
  }

  /** Returns the strictest level observed by the calls made on behalf of this one. */
  AdmissionLevel level() {
    return level;
  }
}
