package dev.arbutusroad.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;

/**
 * Channel operations whose futures are ignored. A failed write closes the channel, and the
 * channel's handler is notified of every close.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ChannelCalls {
  private ChannelCalls() {}

  static void write(Channel channel, Object message) {
    channel.write(message);
  }

  static void writeAndFlush(Channel channel, Object message) {
    channel.writeAndFlush(message);
  }

  static void close(Channel channel) {
    channel.close();
  }

  static void shutdownOutput(SocketChannel channel) {
    channel.shutdownOutput();
  }
}
