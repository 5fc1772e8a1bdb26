package dev.arbutusroad.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** An HTTP server on one address; its handler runs on the event loop. */
public final class HttpListener {
  private static final int BACKLOG = 1_024;

  private final EventLoopThread thread;
  private final ExchangeHandler handler;
  private final MalformedRequestListener malformedRequestListener;
  private final Set<ServerConnection> connections = new HashSet<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private boolean draining;
  private Channel channel;

  private HttpListener(
      EventLoopThread thread,
      ExchangeHandler handler,
      MalformedRequestListener malformedRequestListener) {
    this.thread = thread;
    this.handler = handler;
    this.malformedRequestListener = malformedRequestListener;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @throws IOException if the address cannot be bound
   */
  public static HttpListener start(
      EventLoopThread thread, InetSocketAddress address, ExchangeHandler handler)
      throws IOException {
    return start(thread, address, handler, (caller, reason) -> {});
  }

  /**
   * Does the same, and tells a listener about the requests that the handler does not see.
   *
   * @throws IOException if the address cannot be bound
   */
  public static HttpListener start(
      EventLoopThread thread,
      InetSocketAddress address,
      ExchangeHandler handler,
      MalformedRequestListener malformedRequestListener)
      throws IOException {
    HttpListener listener = new HttpListener(thread, handler, malformedRequestListener);
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(thread.loop())
            .channel(thread.transport().serverChannelType())
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel accepted) {
                    listener.accept(accepted);
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IOException(
          "can't listen on " + address + ": " + bindFuture.cause(), bindFuture.cause());
    }
    listener.channel = bindFuture.channel();
    return listener;
  }

  private void accept(SocketChannel accepted) {
    ReadThrottle throttle = new ReadThrottle(accepted);
    ServerConnection connection =
        new ServerConnection(
            accepted, throttle, handler, malformedRequestListener, this::connectionClosed);
    connections.add(connection);
    accepted
        .pipeline()
        .addLast(throttle)
        .addLast(new RequestDecoder())
        .addLast(new ResponseEncoder(connection::isAnswerBodyless))
        .addLast(connection);
  }

  private void connectionClosed(ServerConnection connection) {
    connections.remove(connection);
    if (draining && connections.isEmpty()) {
      drained.complete(null);
    }
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Returns the thread that runs the handler. */
  public EventLoopThread thread() {
    return thread;
  }

  /**
   * Shuts down gracefully: stops accepting connections, closes idle ones and drains the requests in
   * progress.
   *
   * @return a future that completes when all connections are closed
   */
  public CompletableFuture<Void> closeGracefully() {
    thread.loop().execute(this::drain);
    return drained;
  }

  private void drain() {
    draining = true;
    ChannelCalls.close(channel);
    List.copyOf(connections).forEach(ServerConnection::drain);
    if (connections.isEmpty()) {
      drained.complete(null);
    }
  }

  /** Stops accepting connections and closes all of them at once. */
  public void close() {
    thread
        .loop()
        .execute(
            () -> {
              ChannelCalls.close(channel);
              List.copyOf(connections).forEach(ServerConnection::close);
            });
  }
}
