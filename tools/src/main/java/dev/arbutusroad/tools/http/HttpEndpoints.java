package dev.arbutusroad.tools.http;

import io.servicetalk.client.api.LoadBalancerFactory;
import io.servicetalk.http.api.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.ConnectionSelectorPolicies;
import io.servicetalk.loadbalancer.LoadBalancers;
import io.servicetalk.loadbalancer.OutlierDetectorConfig;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Opens HTTP/1.1 servers and clients that run on the shared event loops and never retry. */
public final class HttpEndpoints {
  private static final int NO_HEALTH_CHECK = -1;

  private HttpEndpoints() {}

  /**
   * Starts a streaming server.
   *
   * @throws IOException if the address can't be bound
   */
  public static HttpServerContext serve(InetSocketAddress listen, StreamingHttpService service)
      throws IOException {
    try {
      return HttpServers.forAddress(listen)
          .executionStrategy(HttpExecutionStrategies.offloadNone())
          .listenStreamingAndAwait(service);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + format(listen), e);
    } catch (Exception e) {
      throw new IOException("can't listen on " + format(listen), e);
    }
  }

  /**
   * Returns a client of one address. Automatic retries are disabled, so that one request is one
   * attempt. Background health checks are disabled because they delay requests after refused
   * connections.
   */
  public static StreamingHttpClient client(InetSocketAddress address) {
    return HttpClients.forResolvedAddress(address.getAddress().getHostAddress(), address.getPort())
        .executionStrategy(HttpExecutionStrategies.offloadNone())
        .loadBalancerFactory(new DefaultHttpLoadBalancerFactory<>(withoutHealthChecks()))
        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
        .buildStreaming();
  }

  private static LoadBalancerFactory<
          InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>
      withoutHealthChecks() {
    return LoadBalancers.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder(
            "tools")
        .outlierDetectorConfig(
            new OutlierDetectorConfig.Builder()
                .failedConnectionsThreshold(NO_HEALTH_CHECK)
                .enforcingConsecutive5xx(0)
                .enforcingSuccessRate(0)
                .enforcingFailurePercentage(0)
                .build())
        .connectionSelectorPolicy(ConnectionSelectorPolicies.linearSearch())
        .build();
  }

  /**
   * Parses {@code host:port} and resolves the host.
   *
   * @throws IllegalArgumentException if the text is malformed or the host is unknown
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("address \"" + text + "\" is not host:port");
    }
    String host = text.substring(0, colon);
    try {
      return new InetSocketAddress(
          InetAddress.getAllByName(host)[0], Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("address \"" + text + "\" has no numeric port", e);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("host \"" + host + "\" is unknown", e);
    }
  }

  /** Formats a resolved address as {@code ip:port}. */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
