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

/** Receives datagrams and drops those without a right MAC. */
final class GossipHandler extends SimpleChannelInboundHandler<DatagramPacket> {
  private final DatagramSeal seal;
  private final PeerMessageHandler events;
  private final PeerTraffic traffic;
  private final LogRateLimiter logRateLimiter = new LogRateLimiter();

  GossipHandler(SharedSecret secret, PeerMessageHandler events, PeerTraffic traffic) {
    seal = new DatagramSeal(secret);
    this.events = events;
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
      events.onGossip(GossipCodec.decode(message.get()), packet.sender());
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
    // Reports of unreachable peers arrive here as well; the probes find them.
    Logger.debug("event=datagram_error reason=\"{}\"", cause.toString());
  }
}
