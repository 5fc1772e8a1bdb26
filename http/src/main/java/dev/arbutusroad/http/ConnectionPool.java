package dev.arbutusroad.http;

import dev.arbutusroad.core.time.Ticker;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connection pool of one address. The most recently used connection is taken first, so that
 * surplus connections reach the idle limit and are closed.
 */
final class ConnectionPool {
  static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Keep-alive probes detect a dead peer within {@code idle + interval * probes} seconds. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 2;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private final EventLoopThread thread;
  private final InetSocketAddress address;
  private final Ticker ticker;
  private final int connectTimeoutMillis;
  private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();
  private final Set<ClientConnection> openConnections = new HashSet<>();
  private long lastUsedNanos;
  private boolean closed;

  ConnectionPool(
      EventLoopThread thread, InetSocketAddress address, Ticker ticker, int connectTimeoutMillis) {
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.thread = thread;
    this.address = address;
    this.ticker = ticker;
    lastUsedNanos = ticker.nanos();
  }

  void send(Attempt attempt) {
    long nowNanos = ticker.nanos();
    lastUsedNanos = nowNanos;
    ClientConnection connection = idleConnections.pollFirst();
    while (connection != null && !connection.isUsable(nowNanos)) {
      connection.close();
      connection = idleConnections.pollFirst();
    }
    if (connection == null) {
      connect(attempt);
    } else {
      connection.send(attempt);
    }
  }

  private void connect(Attempt attempt) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(thread.loop())
            .channel(thread.transport().socketChannelType())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    thread
        .transport()
        .enableKeepAliveProbes(
            bootstrap, KEEP_ALIVE_IDLE_SECONDS, KEEP_ALIVE_INTERVAL_SECONDS, KEEP_ALIVE_PROBES);
    bootstrap
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                ReadThrottle throttle = new ReadThrottle(channel);
                ClientConnection connection =
                    new ClientConnection(channel, ConnectionPool.this, throttle);
                channel
                    .pipeline()
                    .addLast(throttle)
                    .addLast(new ResponseDecoder(connection))
                    .addLast(new HttpRequestEncoder())
                    .addLast(connection);
              }
            })
        .connect(address)
        .addListener(future -> onConnected((ChannelFuture) future, attempt));
  }

  private void onConnected(ChannelFuture future, Attempt attempt) {
    if (!future.isSuccess()) {
      attempt.connectFailed(future.cause());
      return;
    }
    ClientConnection connection = future.channel().pipeline().get(ClientConnection.class);
    openConnections.add(connection);
    if (attempt.isClosed()) {
      connection.markIdle(ticker.nanos());
      release(connection);
    } else {
      connection.send(attempt);
    }
  }

  /** Returns a connection to the pool; it can carry another request. */
  void release(ClientConnection connection) {
    if (closed) {
      connection.close();
    } else {
      connection.markIdle(ticker.nanos());
      idleConnections.addFirst(connection);
    }
  }

  void remove(ClientConnection connection) {
    openConnections.remove(connection);
    idleConnections.remove(connection);
  }

  /** Closes the connections that have reached their idle limit. */
  void closeIdle(long nowNanos) {
    while (!idleConnections.isEmpty() && !idleConnections.peekLast().isUsable(nowNanos)) {
      idleConnections.pollLast().close();
    }
  }

  boolean isUnused(long nowNanos) {
    return openConnections.isEmpty() && nowNanos - lastUsedNanos > MAX_IDLE_NANOS;
  }

  /** Closes idle connections at once and the others when their requests end. */
  void close() {
    closed = true;
    List.copyOf(idleConnections).forEach(ClientConnection::close);
  }
}
