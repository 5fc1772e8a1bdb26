package dev.arbutusroad.cli;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseStatus.StatusClass;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.transport.api.HostAndPort;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Sends one request to the admin listener of a node. */
final class AdminClient {
  private static final long TIMEOUT_MILLIS = 5_000;

  private AdminClient() {}

  /** Returns the body of the answer, or a failure unless the status is 2xx. */
  static Either<Failure, String> request(InetSocketAddress node, String method, String path) {
    HostAndPort host = HostAndPort.of(node.getAddress().getHostAddress(), node.getPort());
    HttpClient client = HttpClients.forSingleAddress(host).build();
    Future<HttpResponse> future =
        client
            .request(
                client.newRequest(
                    HttpRequestMethod.of(method, HttpRequestMethod.Properties.NONE), path))
            .toFuture();
    try {
      HttpResponse response = future.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      return response.status().statusClass() == StatusClass.SUCCESSFUL_2XX
          ? Either.right(response.payloadBody().toString(StandardCharsets.UTF_8))
          : unreachable(node, "it answered with status " + response.status().code());
    } catch (ExecutionException e) {
      return unreachable(node, String.valueOf(e.getCause().getMessage()));
    } catch (TimeoutException e) {
      future.cancel(true);
      return unreachable(node, "no answer within " + TIMEOUT_MILLIS + " ms");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return unreachable(node, "interrupted");
    } finally {
      client.closeAsync().subscribe();
    }
  }

  private static Either<Failure, String> unreachable(InetSocketAddress node, String reason) {
    return Either.left(
        new Failure(
            ResultCode.NODE_UNREACHABLE,
            "admin listener " + Addresses.format(node) + ": " + reason.replace('\n', ' ')));
  }
}
