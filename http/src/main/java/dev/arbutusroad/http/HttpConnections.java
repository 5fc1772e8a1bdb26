package dev.arbutusroad.http;

import dev.arbutusroad.core.time.Ticker;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** Connection pools by address. Must be used on the event loop of its thread only. */
public final class HttpConnections {
  private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();
  private final EventLoopThread thread;
  private final Ticker ticker;
  private final int connectTimeoutMillis;

  /**
   * Creates an instance without connections.
   *
   * @param connectTimeoutMillis limit for opening a connection, in milliseconds
   */
  public HttpConnections(EventLoopThread thread, Ticker ticker, int connectTimeoutMillis) {
    this.thread = thread;
    this.ticker = ticker;
    this.connectTimeoutMillis = connectTimeoutMillis;
  }

  /** Returns the thread that the attempts run on. */
  public EventLoopThread thread() {
    return thread;
  }

  /**
   * Sends a request once, without retries, on a pooled or a new connection.
   *
   * @param listener told about the answer or the failure
   */
  public Attempt send(
      InetSocketAddress address, HttpRequest head, Body body, AttemptListener listener) {
    Attempt attempt = new Attempt(head, body, listener);
    pools
        .computeIfAbsent(
            address,
            poolAddress -> new ConnectionPool(thread, poolAddress, ticker, connectTimeoutMillis))
        .send(attempt);
    return attempt;
  }

  /**
   * Closes connections that have been idle for too long and removes unused pools; to be called
   * every few seconds or more often.
   */
  public void closeIdle() {
    long nowNanos = ticker.nanos();
    for (Iterator<ConnectionPool> iterator = pools.values().iterator(); iterator.hasNext(); ) {
      ConnectionPool pool = iterator.next();
      pool.closeIdle(nowNanos);
      if (pool.isUnused(nowNanos)) {
        iterator.remove();
      }
    }
  }

  /** Returns the number of connection pools, one per address. */
  public int size() {
    return pools.size();
  }

  /** Closes idle connections at once and the others when their requests end. */
  public void close() {
    pools.values().forEach(ConnectionPool::close);
    pools.clear();
  }
}
