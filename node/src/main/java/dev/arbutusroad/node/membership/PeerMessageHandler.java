package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.Gossip;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.StateReply;
import dev.arbutusroad.core.membership.StateRequest;
import dev.arbutusroad.wire.Frame;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/** Handles the messages of peers. Called on the event loop of the transport; must not block. */
interface PeerMessageHandler {
  /** Handles an authenticated datagram. */
  void onGossip(Gossip gossip, InetSocketAddress from);

  /** Handles the request of a state exchange. The reply may be passed on from any thread. */
  void onStateRequest(StateRequest request, Consumer<StateReply> reply);

  /** Handles the final push of a state exchange. */
  void onStatePush(List<Member> members);

  /**
   * Returns the configuration version and, if it is at least {@code minVersion}, the document of
   * this node.
   */
  Frame.DocumentReply document(long minVersion);
}
