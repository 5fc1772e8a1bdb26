package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.admission.AdmissionLevel;
import dev.arbutusroad.core.admission.CallClass;
import java.util.Objects;

/**
 * The properties of a call that nodes send to each other.
 *
 * @param originId identifies the original request; random
 * @param kind the policy kind, as resolved by the sending node
 * @param importance from 0 to 100
 * @param unrepeatable whether the call may run at most once
 * @param grant retry allowance that the receiving node may spend below this call
 * @param remainingMillis time left until the deadline when the call was sent
 * @param caller the calling service, or {@code external}
 * @param depth hops from the original request, starting at 1
 * @param configurationVersion the configuration version that the sending node used
 * @param repeated whether an earlier attempt, of this call or upstream, may have reached a target
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

  /** Returns the class of calls that share their admission levels with this call. */
  CallClass callClass() {
    return new CallClass(kind, importance);
  }

  /** Returns whether a target makes the call on behalf of a request that it is running. */
  boolean isChild() {
    return depth > 1;
  }

  /** Returns the admission rank; calls made for a running request rank slightly higher. */
  int rank() {
    return isChild()
        ? AdmissionLevel.rankOfChildCall(importance, originId)
        : AdmissionLevel.rankOf(importance, originId);
  }

  /** Returns a hash from 0 to 65,535 that is the same at every hop of one original request. */
  int originHash() {
    return (int) (originId >>> 48);
  }
}
