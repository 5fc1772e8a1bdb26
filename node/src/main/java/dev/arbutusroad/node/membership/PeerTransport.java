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

/** Sends and accepts datagrams and connections between nodes on one port and one event loop. */
final class PeerTransport implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Each peer connects about once a minute, so regular traffic stays below this limit. */
  private static final int MAX_ACCEPTED_CONNECTIONS = 128;

  /** An ephemeral TCP port may be in use for UDP, in which case another port is tried. */
  private static final int BIND_ATTEMPTS = 20;

  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final SharedSecret secret;
  private final String selfId;
  private final PeerMessageHandler messageHandler;
  private final PeerTraffic traffic;
  private final Transport transport = Transport.preferred();
  private final EventLoopGroup group =
      transport.newEventLoopGroup(new DefaultThreadFactory("peer", true));
  private final AtomicInteger acceptedConnections = new AtomicInteger();
  private final LogRateLimiter logRateLimiter = new LogRateLimiter();
  private final Handshake handshake;
  private final AtomicBoolean hasQueuedDatagrams = new AtomicBoolean();
  private Channel datagrams;
  private Channel acceptor;

  PeerTransport(
      SharedSecret secret, String selfId, PeerMessageHandler messageHandler, PeerTraffic traffic) {
    this.secret = secret;
    this.selfId = selfId;
    this.messageHandler = messageHandler;
    this.traffic = traffic;
    // Not thread-safe, but used on the single event loop only.
    handshake = new Handshake(secret);
  }

  /**
   * Binds both sockets and returns their port.
   *
   * @throws IOException if the address cannot be bound
   */
  int bind(InetSocketAddress address) throws IOException {
    int attempts = address.getPort() == 0 ? BIND_ATTEMPTS : 1;
    for (int attempt = 1; ; attempt++) {
      acceptor = channelOf(acceptorBootstrap().bind(address).awaitUninterruptibly());
      int port = ((InetSocketAddress) acceptor.localAddress()).getPort();
      try {
        datagrams =
            channelOf(
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

  /** Queues a sealed datagram, which is sent by {@link #flush()}. */
  void send(InetSocketAddress to, byte[] datagram) {
    traffic.datagramsSent.increment();
    traffic.datagramBytesSent.add(datagram.length);
    var unused =
        datagrams.write(
            new DatagramPacket(Unpooled.wrappedBuffer(datagram), to), datagrams.voidPromise());
    hasQueuedDatagrams.set(true);
  }

  /** Sends the queued datagrams. Does not wake up the event loop if there are none. */
  void flush() {
    if (hasQueuedDatagrams.getAndSet(false)) {
      datagrams.flush();
    }
  }

  /**
   * Connects, sends one request and then the frame that {@code followUp} computes from the
   * response. The returned future completes with the response, or exceptionally if the connection
   * fails.
   */
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

  /** Connects and sends one request without a follow-up frame. */
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
    new AcceptingChannel(selfId, handshake, messageHandler, traffic, logRateLimiter)
        .install(channel.pipeline());
  }

  private Bootstrap datagramBootstrap() {
    return new Bootstrap()
        .group(group)
        .channel(transport.datagramChannelType())
        .handler(new GossipHandler(secret, messageHandler, traffic));
  }

  private static Channel channelOf(io.netty.channel.ChannelFuture bindFuture) throws IOException {
    if (!bindFuture.isSuccess()) {
      throw new IOException("cannot bind the peer address", bindFuture.cause());
    }
    return bindFuture.channel();
  }
}
