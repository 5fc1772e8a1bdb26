package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.config.PolicyResolver;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Reclassifies calls that another node classified under an older configuration than this node's.
 *
 * <p>A configuration change thus applies to a call as soon as one of the two nodes has it. A call
 * is unrepeatable if either configuration says so. The importance of an original request is
 * resolved again; deeper calls keep the importance of their original request.
 */
final class CallReclassifier {
  private final Supplier<Optional<PolicyResolver>> policies;
  private final NodeContext nodeContext;

  CallReclassifier(Supplier<Optional<PolicyResolver>> policies, NodeContext nodeContext) {
    this.policies = policies;
    this.nodeContext = nodeContext;
  }

  /** Returns the context of a call under the newer of the two configurations. */
  CallContext reclassify(ReceivedCall call, CallContext context) {
    Optional<PolicyResolver> resolver = policies.get();
    long localVersion = resolver.map(PolicyResolver::version).orElse(0L);
    if (context.configurationVersion() > localVersion) {
      nodeContext.newerConfigurationSeen();
    }
    if (context.configurationVersion() >= localVersion) {
      return context;
    }
    return merge(
        context, resolver.orElseThrow().resolve(call.attributes(context.caller())), localVersion);
  }

  /** Returns the context with the newer policy applied. */
  static CallContext merge(CallContext context, CallPolicy policy, long version) {
    boolean original = context.depth() == 1;
    return new CallContext(
        context.originId(),
        policy.kind(),
        original ? policy.importance() : context.importance(),
        context.unrepeatable() || policy.unrepeatable(),
        context.grant(),
        context.remainingMillis(),
        context.caller(),
        context.depth(),
        version,
        context.repeated());
  }
}
