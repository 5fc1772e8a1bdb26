package dev.arbutusroad.http;

import dev.arbutusroad.core.time.Ticker;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** Connections to other processes by address. Belongs to the event loop. */
public final class HttpConnections {
  private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();
  private final EventLoopThread thread;
  private final Ticker ticker;
  private final int connectTimeoutMillis;

  /**
   * Creates no connections yet.
   *
   * @param connectTimeoutMillis how long opening a connection may take
   */
  public HttpConnections(EventLoopThread thread, Ticker ticker, int connectTimeoutMillis) {
    this.thread = thread;
    this.ticker = ticker;
    this.connectTimeoutMillis = connectTimeoutMillis;
  }

  /** The thread that attempts run on. */
  public EventLoopThread thread() {
    return thread;
  }

  /**
   * Sends a request once, on an open connection or a new one.
   *
   * @param listener told how it went
   */
  public Attempt send(
      InetSocketAddress address, HttpRequest head, Body body, AttemptListener listener) {
    Attempt attempt = new Attempt(head, body, listener);
    pools
        .computeIfAbsent(
            address, to -> new ConnectionPool(thread, to, ticker, connectTimeoutMillis))
        .send(attempt);
    return attempt;
  }

  /** Closes what has been idle for too long; to be called every few seconds or more often. */
  public void closeIdle() {
    long now = ticker.nanos();
    for (Iterator<ConnectionPool> all = pools.values().iterator(); all.hasNext(); ) {
      ConnectionPool pool = all.next();
      pool.closeIdle(now);
      if (pool.isUnused(now)) {
        all.remove();
      }
    }
  }

  /** Addresses that are connected to. */
  public int size() {
    return pools.size();
  }

  /** Closes idle connections now and the others when their requests end. */
  public void close() {
    pools.values().forEach(ConnectionPool::close);
    pools.clear();
  }
}
