package dev.arbutusroad.node.datapath;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The inbound calls that the local target is running, by the token passed to the target. */
final class InboundCalls {
  private final Map<String, InboundCall> byToken = new HashMap<>();
  private final RandomGenerator random;

  /**
   * Creates an empty table.
   *
   * @param random a cryptographically strong source: a token must not be guessable
   */
  InboundCalls(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Registers a call that the target starts to run.
   *
   * @param id the id that the target sends with its own calls, used as the token; empty if it
   *     copies a generated token
   */
  InboundCall begin(CallContext context, long deadlineNanos, Optional<String> id) {
    String token = id.isPresent() ? id.orElseThrow() : newToken();
    InboundCall call = new InboundCall(token, context, deadlineNanos);
    byToken.put(token, call);
    return call;
  }

  private String newToken() {
    return Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
  }

  Optional<InboundCall> find(String token) {
    return Optional.ofNullable(byToken.get(token));
  }

  void end(InboundCall call) {
    byToken.remove(call.token(), call);
  }

  int size() {
    return byToken.size();
  }
}
