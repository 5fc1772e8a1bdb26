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
 * <p>Frames have a length of four bytes; after the handshake each one also has a MAC over its
 * direction, its number and its content.
 */
abstract class FrameChannel extends SimpleChannelInboundHandler<ByteBuf> {
  /** A state of 1,900 members takes a few hundred milliseconds at most. */
  private static final long READ_TIMEOUT_MILLIS = 5_000;

  private static final String DECODER = "frames";

  private final PeerTraffic traffic;
  private MessageAuthenticator incoming;
  private MessageAuthenticator outgoing;
  private long incomingCount;
  private long outgoingCount;

  FrameChannel(PeerTraffic traffic) {
    this.traffic = traffic;
  }

  /** Sets up the pipeline of a new connection. */
  final void install(ChannelPipeline pipeline) {
    pipeline.addLast(new ReadTimeoutHandler(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    pipeline.addLast(DECODER, decoder(MessageLimits.MAX_HANDSHAKE_FRAME_BYTES));
    pipeline.addLast(new LengthFieldPrepender(Integer.BYTES));
    pipeline.addLast(this);
  }

  /** Handles a frame whose MAC, after the handshake, was right. */
  abstract void onFrame(ChannelHandlerContext context, Frame frame);

  /** The connection failed or the peer broke the protocol. */
  abstract void onFailure(String reason);

  /** Ends the handshake: frames are larger and authenticated from here on. */
  final void authenticated(ChannelHandlerContext context, byte[] incomingKey, byte[] outgoingKey) {
    incoming = new MessageAuthenticator(incomingKey);
    outgoing = new MessageAuthenticator(outgoingKey);
    context.pipeline().replace(DECODER, DECODER, decoder(MessageLimits.MAX_FRAME_BYTES));
  }

  final boolean isAuthenticated() {
    return incoming != null;
  }

  final void send(ChannelHandlerContext context, Frame frame, boolean thenClose) {
    byte[] content = FrameCodec.encode(frame);
    ByteBuf buffer = Unpooled.wrappedBuffer(content);
    if (outgoing != null) {
      byte[] mac = outgoing.mac(number(outgoingCount++), ByteBuffer.wrap(content));
      buffer = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(mac), buffer);
    }
    traffic.streamBytesSent.add(buffer.readableBytes() + Integer.BYTES);
    var future = context.writeAndFlush(buffer);
    if (thenClose) {
      future.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  protected final void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
    traffic.streamBytesReceived.add(buffer.readableBytes() + Integer.BYTES);
    byte[] mac = new byte[isAuthenticated() ? MessageAuthenticator.MAC_BYTES : 0];
    if (buffer.readableBytes() < mac.length) {
      fail(context, "a frame is too short");
      return;
    }
    buffer.readBytes(mac);
    byte[] content = new byte[buffer.readableBytes()];
    buffer.readBytes(content);
    if (isAuthenticated()
        && !incoming.verify(mac, number(incomingCount++), ByteBuffer.wrap(content))) {
      fail(context, "a frame has a wrong MAC");
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

  private static ByteBuffer number(long count) {
    return ByteBuffer.allocate(Long.BYTES).putLong(0, count);
  }
}
