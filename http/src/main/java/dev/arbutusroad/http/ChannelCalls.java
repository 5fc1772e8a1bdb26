package dev.arbutusroad.http;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;

/**
 * Calls on channels whose failure needs no handling of its own: a channel closes when a write
 * fails, and its handler is told of every close.
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
