package dev.arbutusroad.node.admin;

import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;

/** An HTTP listener for operators and for checks of the node, apart from the data path. */
public final class AdminListener implements AutoCloseable {
  private final HttpServerContext context;

  private AdminListener(HttpServerContext context) {
    this.context = context;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @throws IOException if the address can't be bound
   */
  public static AdminListener start(InetSocketAddress address, StreamingHttpService service)
      throws IOException {
    try {
      return new AdminListener(
          HttpServers.forAddress(address)
              .executionStrategy(HttpExecutionStrategies.offloadNone())
              .listenStreaming(service)
              .toFuture()
              .get());
    } catch (ExecutionException e) {
      throw new IOException("can't listen on " + address + ": " + e.getCause(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + address, e);
    }
  }

  @Override
  public void close() {
    context.closeAsync().subscribe();
  }
}
