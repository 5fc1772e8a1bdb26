package dev.arbutusroad.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.ThreadFactory;
import jdk.net.ExtendedSocketOptions;

/** Uses the selector of the JDK, which is available on every platform. */
final class NioTransport implements Transport {
  @Override
  public EventLoopGroup newEventLoopGroup(ThreadFactory threads) {
    return new NioEventLoopGroup(1, threads);
  }

  @Override
  public Class<? extends ServerChannel> serverChannelType() {
    return NioServerSocketChannel.class;
  }

  @Override
  public Class<? extends DatagramChannel> datagramChannelType() {
    return NioDatagramChannel.class;
  }

  @Override
  public Class<? extends SocketChannel> socketChannelType() {
    return NioSocketChannel.class;
  }

  @Override
  public void enableKeepAliveProbes(
      Bootstrap bootstrap, int idleSeconds, int intervalSeconds, int count) {
    bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), idleSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), intervalSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), count);
  }
}
