package dev.arbutusroad.node.membership;

import dev.arbutusroad.wire.Frame;
import dev.arbutusroad.wire.FrameCodec;
import dev.arbutusroad.wire.MalformedMessageException;
import dev.arbutusroad.wire.MessageLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/**
 * One side of a connection between nodes.
 *
 * <p>Each frame is prefixed with its length in four bytes. After the handshake it also carries a
 * MAC, keyed by direction, over its sequence number and its content.
 */
abstract class FrameChannel extends SimpleChannelInboundHandler<ByteBuf> {
  /** Transferring the state of 1,900 members takes at most a few hundred milliseconds. */
  private static final long READ_TIMEOUT_MILLIS = 5_000;

  private static final String DECODER_NAME = "frames";

  private final PeerTraffic traffic;
  private MessageAuthenticator incomingAuthenticator;
  private MessageAuthenticator outgoingAuthenticator;
  private long nextIncomingNumber;
  private long nextOutgoingNumber;

  FrameChannel(PeerTraffic traffic) {
    this.traffic = traffic;
  }

  /** Installs the handlers of a new connection. */
  final void install(ChannelPipeline pipeline) {
    pipeline.addLast(new ReadTimeoutHandler(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    pipeline.addLast(DECODER_NAME, decoder(MessageLimits.MAX_HANDSHAKE_FRAME_BYTES));
    pipeline.addLast(new LengthFieldPrepender(Integer.BYTES));
    pipeline.addLast(this);
  }

  /** Handles a frame; after the handshake, its MAC has been verified. */
  abstract void onFrame(ChannelHandlerContext context, Frame frame);

  /** Handles a failure of the connection or a protocol violation of the peer. */
  abstract void onFailure(String reason);

  /** Ends the handshake: from now on, frames are authenticated and may be larger. */
  final void enableAuthentication(
      ChannelHandlerContext context, byte[] incomingKey, byte[] outgoingKey) {
    incomingAuthenticator = new MessageAuthenticator(incomingKey);
    outgoingAuthenticator = new MessageAuthenticator(outgoingKey);
    context.pipeline().replace(DECODER_NAME, DECODER_NAME, decoder(MessageLimits.MAX_FRAME_BYTES));
  }

  final boolean isAuthenticated() {
    return incomingAuthenticator != null;
  }

  final void send(ChannelHandlerContext context, Frame frame, boolean closeAfterwards) {
    byte[] content = FrameCodec.encode(frame);
    ByteBuf buffer = Unpooled.wrappedBuffer(content);
    if (outgoingAuthenticator != null) {
      byte[] mac =
          outgoingAuthenticator.mac(sequenceNumber(nextOutgoingNumber++), ByteBuffer.wrap(content));
      buffer = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(mac), buffer);
    }
    traffic.streamBytesSent.add(buffer.readableBytes() + Integer.BYTES);
    var future = context.writeAndFlush(buffer);
    if (closeAfterwards) {
      future.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  protected final void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
    traffic.streamBytesReceived.add(buffer.readableBytes() + Integer.BYTES);
    byte[] mac = new byte[isAuthenticated() ? MessageAuthenticator.MAC_BYTES : 0];
    if (buffer.readableBytes() < mac.length) {
      fail(context, "frame is too short for its MAC");
      return;
    }
    buffer.readBytes(mac);
    byte[] content = new byte[buffer.readableBytes()];
    buffer.readBytes(content);
    if (isAuthenticated()
        && !incomingAuthenticator.verify(
            mac, sequenceNumber(nextIncomingNumber++), ByteBuffer.wrap(content))) {
      fail(context, "invalid MAC of a frame");
      return;
    }
    try {
      onFrame(context, FrameCodec.decode(content));
    } catch (MalformedMessageException e) {
      fail(context, e.getMessage());
    }
  }

  @Override
  public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(context, cause.toString());
  }

  final void fail(ChannelHandlerContext context, String reason) {
    onFailure(reason);
    var unused = context.close();
  }

  private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(maxBytes, 0, Integer.BYTES, 0, Integer.BYTES);
  }

  private static ByteBuffer sequenceNumber(long number) {
    return ByteBuffer.allocate(Long.BYTES).putLong(0, number);
  }
}
