package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.settings.SharedSecret;
import dev.arbutusroad.http.Transport;
import dev.arbutusroad.wire.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Datagrams and connections between nodes on one port number, on one event loop. */
final class PeerTransport implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Each peer connects about once a minute, so more than this is not ordinary traffic. */
  private static final int MAX_ACCEPTED_CONNECTIONS = 128;

  /** An ephemeral TCP port may be taken for UDP; another one is tried. */
  private static final int BIND_ATTEMPTS = 20;

  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final SharedSecret secret;
  private final String selfId;
  private final PeerEvents events;
  private final PeerTraffic traffic;
  private final Transport transport = Transport.preferred();
  private final EventLoopGroup group =
      transport.newEventLoopGroup(new DefaultThreadFactory("peer", true));
  private final AtomicInteger acceptedConnections = new AtomicInteger();
  private final LogLimit logLimit = new LogLimit();
  private final Handshake handshake;
  private final AtomicBoolean unsent = new AtomicBoolean();
  private Channel datagrams;
  private Channel acceptor;

  PeerTransport(SharedSecret secret, String selfId, PeerEvents events, PeerTraffic traffic) {
    this.secret = secret;
    this.selfId = selfId;
    this.events = events;
    this.traffic = traffic;
    // Used on the only event loop.
    handshake = new Handshake(secret);
  }

  /** Binds both sockets and returns the port. */
  int bind(InetSocketAddress address) throws IOException {
    int attempts = address.getPort() == 0 ? BIND_ATTEMPTS : 1;
    for (int attempt = 1; ; attempt++) {
      acceptor = await(acceptorBootstrap().bind(address).awaitUninterruptibly());
      int port = ((InetSocketAddress) acceptor.localAddress()).getPort();
      try {
        datagrams =
            await(
                datagramBootstrap()
                    .bind(new InetSocketAddress(address.getAddress(), port))
                    .awaitUninterruptibly());
        return port;
      } catch (IOException e) {
        acceptor.close().awaitUninterruptibly();
        if (attempt == attempts) {
          throw e;
        }
      }
    }
  }

  /** Queues a sealed datagram until {@link #flush()}. */
  void send(InetSocketAddress to, byte[] datagram) {
    traffic.datagramsSent.increment();
    traffic.datagramBytesSent.add(datagram.length);
    var unused =
        datagrams.write(
            new DatagramPacket(Unpooled.wrappedBuffer(datagram), to), datagrams.voidPromise());
    unsent.set(true);
  }

  /** Sends what was queued; without anything, the event loop is not woken. */
  void flush() {
    if (unsent.getAndSet(false)) {
      datagrams.flush();
    }
  }

  /** Connects, makes one request and sends what {@code followUp} makes of the response. */
  CompletableFuture<Frame> request(
      InetSocketAddress to, Frame request, Function<Frame, CompletableFuture<Frame>> followUp) {
    CompletableFuture<Frame> response = new CompletableFuture<>();
    new Bootstrap()
        .group(group)
        .channel(transport.socketChannelType())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                new ConnectingChannel(selfId, handshake, traffic, request, response, followUp)
                    .install(channel.pipeline());
              }
            })
        .connect(to)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                response.completeExceptionally(future.cause());
              }
            });
    return response;
  }

  /** A request without a last frame. */
  CompletableFuture<Frame> request(InetSocketAddress to, Frame request) {
    return request(to, request, response -> CompletableFuture.completedFuture(null));
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }

  private ServerBootstrap acceptorBootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(transport.serverChannelType())
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accept(channel);
              }
            });
  }

  private void accept(SocketChannel channel) {
    if (acceptedConnections.incrementAndGet() > MAX_ACCEPTED_CONNECTIONS) {
      acceptedConnections.decrementAndGet();
      traffic.connectionsRefused.increment();
      var unused = channel.close();
      return;
    }
    channel.closeFuture().addListener(future -> acceptedConnections.decrementAndGet());
    new AcceptingChannel(selfId, handshake, events, traffic, logLimit).install(channel.pipeline());
  }

  private Bootstrap datagramBootstrap() {
    return new Bootstrap()
        .group(group)
        .channel(transport.datagramChannelType())
        .handler(new GossipHandler(secret, events, traffic));
  }

  private static Channel await(io.netty.channel.ChannelFuture bound) throws IOException {
    if (!bound.isSuccess()) {
      throw new IOException("can't bind the peer address", bound.cause());
    }
    return bound.channel();
  }
}
