package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The pending indirect probes that this member has sent on behalf of others. */
final class ProbeRelays {
  /** When full, the oldest entry is evicted; its requester has asked other relays as well. */
  static final int CAPACITY = 256;

  /** The origin of an indirect probe. */
  record Request(InetSocketAddress requester, long sequence) {}

  private final Map<Long, Request> byOwnSequence = new LinkedHashMap<>();

  void add(long ownSequence, InetSocketAddress requester, long sequence) {
    if (byOwnSequence.size() >= CAPACITY) {
      byOwnSequence.remove(byOwnSequence.keySet().iterator().next());
    }
    byOwnSequence.put(ownSequence, new Request(requester, sequence));
  }

  Optional<Request> take(long ownSequence) {
    return Optional.ofNullable(byOwnSequence.remove(ownSequence));
  }
}
