package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.settings.SharedSecret;
import dev.arbutusroad.wire.GossipCodec;
import dev.arbutusroad.wire.MalformedMessageException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.tinylog.Logger;

/** Receives gossip datagrams and drops those with an invalid MAC or a malformed message. */
final class GossipHandler extends SimpleChannelInboundHandler<DatagramPacket> {
  private final DatagramSeal seal;
  private final PeerMessageHandler messageHandler;
  private final PeerTraffic traffic;
  private final LogRateLimiter logRateLimiter = new LogRateLimiter();

  GossipHandler(SharedSecret secret, PeerMessageHandler messageHandler, PeerTraffic traffic) {
    seal = new DatagramSeal(secret);
    this.messageHandler = messageHandler;
    this.traffic = traffic;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
    traffic.datagramsReceived.increment();
    traffic.datagramBytesReceived.add(packet.content().readableBytes());
    Optional<ByteBuffer> message = seal.open(packet.content().nioBuffer());
    if (message.isEmpty()) {
      traffic.datagramsWrongMac.increment();
      if (logRateLimiter.tryAcquire()) {
        Logger.warn("event=datagram_refused reason=wrong_mac from={}", packet.sender());
      }
      return;
    }
    try {
      messageHandler.onGossip(GossipCodec.decode(message.get()), packet.sender());
    } catch (MalformedMessageException e) {
      traffic.datagramsMalformed.increment();
      if (logRateLimiter.tryAcquire()) {
        Logger.warn(
            "event=datagram_refused reason=\"{}\" from={}", e.getMessage(), packet.sender());
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // Includes ICMP errors of unreachable peers, which the failure detector finds by probing.
    Logger.debug("event=datagram_error reason=\"{}\"", cause.toString());
  }
}
