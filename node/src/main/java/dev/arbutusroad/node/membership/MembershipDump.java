package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.Member;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/** Builds the membership section of the state dump. */
final class MembershipDump {
  private MembershipDump() {}

  static Map<String, Object> of(MembershipAgent agent, long droppedEvents) {
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("self", member(agent.self()));
    dump.put("stale", agent.isStale());
    dump.put("joined", agent.hasJoined());
    dump.put("revision", agent.view().revision());
    dump.put("sizes", agent.sizes());
    dump.put("traffic", agent.traffic());
    dump.put("droppedEvents", droppedEvents);
    dump.put("members", agent.view().all().stream().map(MembershipDump::member).toList());
    return dump;
  }

  private static Map<String, Object> member(Member member) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", member.id());
    fields.put("state", member.state().name());
    fields.put("incarnation", member.incarnation());
    fields.put("service", member.service());
    fields.put("region", member.region());
    fields.put("failureDomain", member.failureDomain());
    fields.put("callerAddress", format(member.callerAddress()));
    fields.put("peerAddress", format(member.peerAddress()));
    fields.put("configurationVersion", member.configurationVersion());
    return fields;
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
