package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.Gossip;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.StateReply;
import dev.arbutusroad.core.membership.StateRequest;
import dev.arbutusroad.wire.Frame;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/** What the transport hands over. Called on its event loop; never blocks. */
interface PeerEvents {
  /** An authenticated datagram arrived. */
  void onGossip(Gossip gossip, InetSocketAddress from);

  /** A peer opened a state exchange; the reply may be given on any thread. */
  void onStateRequest(StateRequest request, Consumer<StateReply> reply);

  /** A peer ended a state exchange. */
  void onStatePush(List<Member> members);

  /** A peer asks for the configuration document. */
  Frame.DocumentReply document(long leastVersion);
}
