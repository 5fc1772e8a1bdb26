package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.admission.CallClass;
import java.util.Objects;

/**
 * What nodes tell each other about a call.
 *
 * @param originId identifies the original request; random
 * @param kind the policy kind that the sending node resolved
 * @param importance 0 to 100
 * @param unrepeatable whether the call may run at most once
 * @param grant retry allowance that the receiving node may spend below this call
 * @param remainingMillis time left until the deadline when the call was sent
 * @param caller the calling service, or {@code external}
 * @param depth hops from the original request, starting at 1
 * @param configurationVersion the version that the sending node used
 * @param repeated whether the call, or one that it is made for, may have reached a target before
 */
record CallContext(
    long originId,
    String kind,
    int importance,
    boolean unrepeatable,
    int grant,
    long remainingMillis,
    String caller,
    int depth,
    long configurationVersion,
    boolean repeated) {
  CallContext {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(caller, "caller");
  }

  /** The calls that meet the same levels as this one. */
  CallClass callClass() {
    return new CallClass(kind, importance);
  }

  /** Whether a target makes the call for a request that it runs. */
  boolean isChild() {
    return depth > 1;
  }

  /** Its place in the order of admission; a call for a running request is a little ahead. */
  int rank() {
    return isChild()
        ? AdmissionLevel.rankOfChildCall(importance, originId)
        : AdmissionLevel.rankOf(importance, originId);
  }

  /** A number from 0 to 65,535 that is the same at every hop of one original request. */
  int originHash() {
    return (int) (originId >>> 48);
  }
}
