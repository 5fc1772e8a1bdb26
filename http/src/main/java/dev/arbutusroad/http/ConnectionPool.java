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

/** The connections to one address; the one used last is used next, so that surplus ones age. */
final class ConnectionPool {
  static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Probes find a silent connection within {@code idle + interval * count} seconds. */
  private static final int PROBE_IDLE_SECONDS = 2;

  private static final int PROBE_INTERVAL_SECONDS = 1;
  private static final int PROBE_COUNT = 2;

  private final EventLoopThread thread;
  private final InetSocketAddress address;
  private final Ticker ticker;
  private final int connectTimeoutMillis;
  private final Deque<ClientConnection> idle = new ArrayDeque<>();
  private final Set<ClientConnection> open = new HashSet<>();
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
    long now = ticker.nanos();
    lastUsedNanos = now;
    ClientConnection connection = idle.pollFirst();
    while (connection != null && !connection.isUsable(now)) {
      connection.close();
      connection = idle.pollFirst();
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
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    thread
        .transport()
        .enableKeepAliveProbes(bootstrap, PROBE_IDLE_SECONDS, PROBE_INTERVAL_SECONDS, PROBE_COUNT);
    bootstrap
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                ClientConnection connection = new ClientConnection(channel, ConnectionPool.this);
                channel
                    .pipeline()
                    .addLast(new ResponseDecoder(connection::isAnswerBodyless))
                    .addLast(new HttpRequestEncoder())
                    .addLast(connection);
              }
            })
        .connect(address)
        .addListener(connected -> connected((ChannelFuture) connected, attempt));
  }

  private void connected(ChannelFuture connected, Attempt attempt) {
    if (!connected.isSuccess()) {
      attempt.unreachable(connected.cause());
      return;
    }
    ClientConnection connection = connected.channel().pipeline().get(ClientConnection.class);
    open.add(connection);
    if (attempt.isClosed()) {
      connection.idleSince(ticker.nanos());
      idle(connection);
    } else {
      connection.send(attempt);
    }
  }

  /** The connection takes another request. */
  void idle(ClientConnection connection) {
    if (closed) {
      connection.close();
    } else {
      connection.idleSince(ticker.nanos());
      idle.addFirst(connection);
    }
  }

  void closed(ClientConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }

  /** Closes connections that have been idle for too long. */
  void closeIdle(long nowNanos) {
    while (!idle.isEmpty() && !idle.peekLast().isUsable(nowNanos)) {
      idle.pollLast().close();
    }
  }

  boolean isUnused(long nowNanos) {
    return open.isEmpty() && nowNanos - lastUsedNanos > IDLE_NANOS;
  }

  /** Closes idle connections now and the others when their requests end. */
  void close() {
    closed = true;
    List.copyOf(idle).forEach(ClientConnection::close);
  }
}
