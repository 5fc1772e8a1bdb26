package dev.arbutusroad.node.membership;

import dev.arbutusroad.wire.Frame;
import io.netty.channel.ChannelHandlerContext;
import java.nio.ByteBuffer;
import org.tinylog.Logger;

/** The accepting side of a connection: sends a challenge, checks the proof, serves requests. */
final class AcceptingChannel extends FrameChannel {
  private final String selfId;
  private final Handshake handshake;
  private final PeerEvents events;
  private final PeerTraffic traffic;
  private final LogLimit logLimit;
  private final ByteBuffer nonce = Handshake.newNonce();

  AcceptingChannel(
      String selfId,
      Handshake handshake,
      PeerEvents events,
      PeerTraffic traffic,
      LogLimit logLimit) {
    super(traffic);
    this.selfId = selfId;
    this.handshake = handshake;
    this.events = events;
    this.traffic = traffic;
    this.logLimit = logLimit;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    send(context, new Frame.Challenge(nonce), false);
  }

  @Override
  void onFrame(ChannelHandlerContext context, Frame frame) {
    if (!isAuthenticated()) {
      if (frame instanceof Frame.Hello hello) {
        checkHello(context, hello);
      } else {
        fail(context, "the first frame is not a hello");
      }
    } else if (frame instanceof Frame.ExchangeRequest open) {
      events.onStateRequest(
          open.request(),
          reply ->
              context
                  .executor()
                  .execute(() -> send(context, new Frame.ExchangeReply(reply), false)));
    } else if (frame instanceof Frame.ExchangePush push) {
      events.onStatePush(push.members());
      var unused = context.close();
    } else if (frame instanceof Frame.DocumentRequest ask) {
      send(context, events.document(ask.leastVersion()), true);
    } else {
      fail(context, "an unexpected frame");
    }
  }

  private void checkHello(ChannelHandlerContext context, Frame.Hello hello) {
    boolean proved =
        handshake.verify(
            hello.mac(), Handshake.Side.CONNECTING, nonce, hello.nonce(), hello.sender());
    if (!proved) {
      fail(context, "the proof of the shared secret is wrong");
      return;
    }
    ByteBuffer proof = handshake.proof(Handshake.Side.ACCEPTING, nonce, hello.nonce(), selfId);
    send(context, new Frame.Welcome(selfId, proof), false);
    authenticated(
        context,
        handshake.frameKey(Handshake.Side.CONNECTING, nonce, hello.nonce()),
        handshake.frameKey(Handshake.Side.ACCEPTING, nonce, hello.nonce()));
  }

  @Override
  void onFailure(String reason) {
    traffic.connectionsRefused.increment();
    if (logLimit.permits()) {
      Logger.warn("event=peer_connection_refused reason=\"{}\"", reason);
    }
  }
}
