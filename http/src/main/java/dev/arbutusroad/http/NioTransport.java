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

/** Uses the selector of the JDK, which runs everywhere. */
final class NioTransport implements Transport {
  @Override
  public EventLoopGroup eventLoops(ThreadFactory threads) {
    return new NioEventLoopGroup(1, threads);
  }

  @Override
  public Class<? extends ServerChannel> listeners() {
    return NioServerSocketChannel.class;
  }

  @Override
  public Class<? extends DatagramChannel> datagrams() {
    return NioDatagramChannel.class;
  }

  @Override
  public Class<? extends SocketChannel> connections() {
    return NioSocketChannel.class;
  }

  @Override
  public void probeIdle(Bootstrap bootstrap, int idleSeconds, int intervalSeconds, int count) {
    bootstrap
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), idleSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), intervalSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), count);
  }
}
