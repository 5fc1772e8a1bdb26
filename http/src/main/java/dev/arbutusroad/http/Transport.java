package dev.arbutusroad.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.ThreadFactory;

/** How a node does its network input and output. */
public interface Transport {
  /** Linux's epoll where its native library can be loaded, else the selector of the JDK. */
  static Transport preferred() {
    return Epoll.isAvailable() ? new EpollTransport() : new NioTransport();
  }

  /** A group with one event loop. */
  EventLoopGroup eventLoops(ThreadFactory threads);

  /** The channels of listeners. */
  Class<? extends ServerChannel> listeners();

  /** The channels of datagrams. */
  Class<? extends DatagramChannel> datagrams();

  /** The channels of connections to others. */
  Class<? extends SocketChannel> connections();

  /**
   * Has idle connections probed, which finds those that have gone silent.
   *
   * @param idleSeconds idle time before the first probe
   * @param intervalSeconds time between probes
   * @param count unanswered probes after which a connection is closed
   */
  void probeIdle(Bootstrap bootstrap, int idleSeconds, int intervalSeconds, int count);
}
