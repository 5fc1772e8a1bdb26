package dev.arbutusroad.http;

import dev.arbutusroad.core.time.Ticker;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Controls when a channel is read: not while its consumer has paused it, nor more than its share of
 * the event loop.
 *
 * <p>A channel that always has more to read is read again in a task, and an event loop runs up to
 * 64 tasks before it looks at its other channels and its timers. A peer that sends without end
 * would hold up all other connections. So after {@link #MAX_TURN_BYTES} the channel pauses for as
 * long as the last of them took, and for at least {@link #MIN_PAUSE_NANOS}.
 */
final class ReadThrottle extends ChannelInboundHandlerAdapter {
  /** Bytes that a channel may read before others get their turn. */
  static final int MAX_TURN_BYTES = 64 * 1_024;

  private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final Channel channel;
  private boolean consumerReading = true;
  private boolean shareUsed;
  private boolean resumeScheduled;
  private int turnBytes;
  private long shareUsedNanos;

  ReadThrottle(Channel channel) {
    this.channel = channel;
  }

  /** Resumes or pauses the channel on behalf of its consumer. */
  void setReading(boolean reading) {
    consumerReading = reading;
    updateAutoRead();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    turnBytes += ((ByteBuf) message).readableBytes();
    if (turnBytes >= MAX_TURN_BYTES && !shareUsed) {
      shareUsed = true;
      shareUsedNanos = Ticker.system().nanos();
      updateAutoRead();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    turnBytes = 0;
    context.fireChannelReadComplete();
    if (shareUsed && !resumeScheduled) {
      resumeScheduled = true;
      long pauseNanos = Math.max(MIN_PAUSE_NANOS, Ticker.system().nanos() - shareUsedNanos);
      var unused = context.executor().schedule(this::resume, pauseNanos, TimeUnit.NANOSECONDS);
    }
  }

  private void resume() {
    shareUsed = false;
    resumeScheduled = false;
    updateAutoRead();
  }

  private void updateAutoRead() {
    channel.config().setAutoRead(consumerReading && !shareUsed);
  }
}
