package dev.arbutusroad.node.membership;

import dev.arbutusroad.wire.Frame;
import io.netty.channel.ChannelHandlerContext;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The connecting side of a peer connection: proves that it knows the shared secret, verifies the
 * peer's proof and sends one request.
 */
final class ConnectingChannel extends FrameChannel {
  private final String selfId;
  private final Handshake handshake;
  private final Frame request;
  private final CompletableFuture<Frame> response;
  private final Function<Frame, CompletableFuture<Frame>> followUp;
  private final ByteBuffer nonce = Handshake.newNonce();
  private ByteBuffer peerNonce;

  /**
   * Creates the handler of a connection for one request.
   *
   * @param response completed with the response, or exceptionally if the connection fails
   * @param followUp computes a final frame from the response; none is sent if its future fails or
   *     completes with null
   */
  ConnectingChannel(
      String selfId,
      Handshake handshake,
      PeerTraffic traffic,
      Frame request,
      CompletableFuture<Frame> response,
      Function<Frame, CompletableFuture<Frame>> followUp) {
    super(traffic);
    this.selfId = selfId;
    this.handshake = handshake;
    this.request = request;
    this.response = response;
    this.followUp = followUp;
  }

  @Override
  void onFrame(ChannelHandlerContext context, Frame frame) {
    if (frame instanceof Frame.Challenge challenge && peerNonce == null) {
      answerChallenge(context, challenge);
    } else if (frame instanceof Frame.Welcome welcome && peerNonce != null && !isAuthenticated()) {
      verifyWelcome(context, welcome);
    } else if (isAuthenticated()) {
      handleResponse(context, frame);
    } else {
      fail(context, "unexpected frame during the handshake");
    }
  }

  private void answerChallenge(ChannelHandlerContext context, Frame.Challenge challenge) {
    peerNonce = challenge.nonce();
    ByteBuffer proof = handshake.proof(Handshake.Side.CONNECTING, peerNonce, nonce, selfId);
    send(context, new Frame.Hello(selfId, nonce, proof), false);
  }

  private void verifyWelcome(ChannelHandlerContext context, Frame.Welcome welcome) {
    boolean valid =
        handshake.verify(
            welcome.mac(), Handshake.Side.ACCEPTING, peerNonce, nonce, welcome.sender());
    if (!valid) {
      fail(context, "invalid proof of the shared secret from the peer");
      return;
    }
    enableAuthentication(
        context,
        handshake.frameKey(Handshake.Side.ACCEPTING, peerNonce, nonce),
        handshake.frameKey(Handshake.Side.CONNECTING, peerNonce, nonce));
    send(context, request, false);
  }

  private void handleResponse(ChannelHandlerContext context, Frame frame) {
    response.complete(frame);
    var unused =
        followUp
            .apply(frame)
            .whenComplete(
                (finalFrame, error) ->
                    context.executor().execute(() -> sendFinalFrame(context, finalFrame)));
  }

  private void sendFinalFrame(ChannelHandlerContext context, Frame finalFrame) {
    if (finalFrame != null) {
      send(context, finalFrame, true);
    } else {
      var unused = context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    onFailure("the peer closed the connection");
  }

  @Override
  void onFailure(String reason) {
    response.completeExceptionally(new PeerConnectionException(reason));
  }
}
