package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.config.PolicyResolver;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Applies this node's rules to a call that another node classified under an older configuration.
 *
 * <p>So a change is in force for a call as soon as one of the two nodes knows it. A call stays
 * unrepeatable if either configuration says so. The importance of an original request is resolved
 * anew; deeper calls keep the importance of their original request.
 */
final class NewerPolicy {
  private final Supplier<Optional<PolicyResolver>> policies;
  private final NodeContext duties;

  NewerPolicy(Supplier<Optional<PolicyResolver>> policies, NodeContext duties) {
    this.policies = policies;
    this.duties = duties;
  }

  CallContext apply(ReceivedCall call, CallContext context) {
    Optional<PolicyResolver> resolver = policies.get();
    long own = resolver.map(PolicyResolver::version).orElse(0L);
    if (context.configurationVersion() > own) {
      duties.newerConfigurationSeen();
    }
    if (context.configurationVersion() >= own) {
      return context;
    }
    return merge(context, resolver.orElseThrow().resolve(call.attributes(context.caller())), own);
  }

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
