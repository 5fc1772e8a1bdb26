package dev.arbutusroad.node.membership;

import dev.arbutusroad.wire.Frame;
import io.netty.channel.ChannelHandlerContext;
import java.nio.ByteBuffer;
import org.tinylog.Logger;

/**
 * The accepting side of a peer connection: sends a challenge, verifies the peer's proof of the
 * shared secret and serves requests.
 */
final class AcceptingChannel extends FrameChannel {
  private final String selfId;
  private final Handshake handshake;
  private final PeerMessageHandler messageHandler;
  private final PeerTraffic traffic;
  private final LogRateLimiter logRateLimiter;
  private final ByteBuffer nonce = Handshake.newNonce();

  AcceptingChannel(
      String selfId,
      Handshake handshake,
      PeerMessageHandler messageHandler,
      PeerTraffic traffic,
      LogRateLimiter logRateLimiter) {
    super(traffic);
    this.selfId = selfId;
    this.handshake = handshake;
    this.messageHandler = messageHandler;
    this.traffic = traffic;
    this.logRateLimiter = logRateLimiter;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    send(context, new Frame.Challenge(nonce), false);
  }

  @Override
  void onFrame(ChannelHandlerContext context, Frame frame) {
    if (!isAuthenticated()) {
      if (frame instanceof Frame.Hello hello) {
        verifyHello(context, hello);
      } else {
        fail(context, "expected a hello as the first frame");
      }
    } else if (frame instanceof Frame.ExchangeRequest open) {
      messageHandler.onStateRequest(
          open.request(),
          reply ->
              context
                  .executor()
                  .execute(() -> send(context, new Frame.ExchangeReply(reply), false)));
    } else if (frame instanceof Frame.ExchangePush push) {
      messageHandler.onStatePush(push.members());
      var unused = context.close();
    } else if (frame instanceof Frame.DocumentRequest ask) {
      send(context, messageHandler.document(ask.leastVersion()), true);
    } else {
      fail(context, "unexpected frame after the handshake");
    }
  }

  private void verifyHello(ChannelHandlerContext context, Frame.Hello hello) {
    boolean valid =
        handshake.verify(
            hello.mac(), Handshake.Side.CONNECTING, nonce, hello.nonce(), hello.sender());
    if (!valid) {
      fail(context, "invalid proof of the shared secret");
      return;
    }
    ByteBuffer proof = handshake.proof(Handshake.Side.ACCEPTING, nonce, hello.nonce(), selfId);
    send(context, new Frame.Welcome(selfId, proof), false);
    enableAuthentication(
        context,
        handshake.frameKey(Handshake.Side.CONNECTING, nonce, hello.nonce()),
        handshake.frameKey(Handshake.Side.ACCEPTING, nonce, hello.nonce()));
  }

  @Override
  void onFailure(String reason) {
    traffic.connectionsRefused.increment();
    if (logRateLimiter.tryAcquire()) {
      Logger.warn("event=peer_connection_refused reason=\"{}\"", reason);
    }
  }
}
