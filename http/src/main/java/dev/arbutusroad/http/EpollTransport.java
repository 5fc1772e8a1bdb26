package dev.arbutusroad.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.ThreadFactory;

/**
 * Uses epoll on Linux through Netty's native library, which needs fewer steps per read and write.
 */
final class EpollTransport implements Transport {
  @Override
  public EventLoopGroup newEventLoopGroup(ThreadFactory threads) {
    return new EpollEventLoopGroup(1, threads);
  }

  @Override
  public Class<? extends ServerChannel> serverChannelType() {
    return EpollServerSocketChannel.class;
  }

  @Override
  public Class<? extends DatagramChannel> datagramChannelType() {
    return EpollDatagramChannel.class;
  }

  @Override
  public Class<? extends SocketChannel> socketChannelType() {
    return EpollSocketChannel.class;
  }

  @Override
  public void enableKeepAliveProbes(
      Bootstrap bootstrap, int idleSeconds, int intervalSeconds, int count) {
    bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(EpollChannelOption.TCP_KEEPIDLE, idleSeconds)
        .option(EpollChannelOption.TCP_KEEPINTVL, intervalSeconds)
        .option(EpollChannelOption.TCP_KEEPCNT, count);
  }
}
