package dev.arbutusroad.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.ThreadFactory;

/** Creates the Netty event loops and channel types of one kind of network I/O. */
public interface Transport {
  /** Returns epoll if its native library can be loaded, else the selector of the JDK. */
  static Transport preferred() {
    return Epoll.isAvailable() ? new EpollTransport() : new NioTransport();
  }

  /** Creates a group with one event loop. */
  EventLoopGroup newEventLoopGroup(ThreadFactory threads);

  /** Returns the channel type of listening sockets. */
  Class<? extends ServerChannel> serverChannelType();

  /** Returns the channel type of UDP sockets. */
  Class<? extends DatagramChannel> datagramChannelType();

  /** Returns the channel type of outgoing connections. */
  Class<? extends SocketChannel> socketChannelType();

  /**
   * Enables TCP keep-alive probes, which detect idle connections whose peer no longer responds.
   *
   * @param idleSeconds idle time in seconds before the first probe
   * @param intervalSeconds time in seconds between probes
   * @param count unanswered probes after which a connection is closed
   */
  void enableKeepAliveProbes(Bootstrap bootstrap, int idleSeconds, int intervalSeconds, int count);
}
