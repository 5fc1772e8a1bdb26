package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.retry.RetryAllowance;
import java.util.Optional;

/**
 * A call that a target is running, or an original request that this node received.
 *
 * <p>Holds the retry allowance that is left for the calls made on its behalf. Owned by the data
 * path.
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
   * @param upstream the call that it is made for, if it has an allowance and importance of its own
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

  /** The retries that are left. */
  RetryAllowance allowance() {
    return allowance;
  }

  /** Notes the level that a call made on behalf of this one met. */
  void noteLevel(AdmissionLevel seen) {
    level = level.max(seen);
    if (upstream.isPresent()) {
      InboundCall call = upstream.orElseThrow();
      call.noteLevel(seen);
    }
  }

  /** The strictest level that the calls made on behalf of this one met. */
  AdmissionLevel level() {
    return level;
  }
}
