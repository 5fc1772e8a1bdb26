package dev.arbutusroad.tools.baseline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.tools.http.Disconnects;
import dev.arbutusroad.tools.http.HttpEndpoints;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards calls to the announced targets of a service in round-robin order. With a limit, an
 * attempt on a target that is at its limit fails. Failed attempts are retried at once, without
 * back-off.
 */
public final class BaselineForwarder implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ANNOUNCE_PATH = "/arbutus/announce";
  private static final String LEAVE_PATH = "/arbutus/leave";
  private static final int STATUS_SERVER_ERROR = 500;

  private final Closer closer = new Closer();
  private final Map<String, Service> services = new ConcurrentHashMap<>();
  private final int limitPerTarget;
  private final int retries;
  private final HttpServerContext server;

  /**
   * Starts the forwarder.
   *
   * @param listen address for calls and announcements
   * @param limitPerTarget calls in progress at each target; 0 for no limit
   * @param retries immediate retries of each failed call
   * @throws IOException if the address can't be bound
   */
  public BaselineForwarder(InetSocketAddress listen, int limitPerTarget, int retries)
      throws IOException {
    this.limitPerTarget = limitPerTarget;
    this.retries = retries;
    this.server = closer.register(HttpEndpoints.serve(listen, this::handle));
  }

  /** Returns the address for calls and announcements. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.listenAddress();
  }

  private Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    return switch (request.path()) {
      case ANNOUNCE_PATH -> request.toRequest().map(body -> announce(body, responses));
      case LEAVE_PATH -> Single.succeeded(responses.ok());
      default ->
          request
              .toRequest()
              .flatMap(buffered -> forward(buffered, responses, retries))
              .ambWith(Disconnects.response(context, request, responses));
    };
  }

  private StreamingHttpResponse announce(
      HttpRequest request, StreamingHttpResponseFactory responses) {
    try {
      JsonNode json = MAPPER.readTree(request.payloadBody().toString(StandardCharsets.UTF_8));
      String address = json.path("address").asText();
      services
          .computeIfAbsent(json.path("service").asText(), name -> new Service())
          .targets
          .computeIfAbsent(address, key -> new Target(HttpEndpoints.parse(key)));
      return responses.ok();
    } catch (IOException | IllegalArgumentException e) {
      return responses.badRequest();
    }
  }

  private Single<StreamingHttpResponse> forward(
      HttpRequest request, StreamingHttpResponseFactory responses, int retriesLeft) {
    Service service = services.get(serviceName(request));
    if (service == null) {
      return Single.succeeded(responses.notFound());
    }
    return service
        .next()
        .call(request)
        .onErrorReturn(failure -> responses.badGateway())
        .flatMap(
            response -> {
              boolean failed = response.status().code() >= STATUS_SERVER_ERROR;
              return failed && retriesLeft > 0
                  ? response
                      .messageBody()
                      .ignoreElements()
                      .concat(Single.defer(() -> forward(request, responses, retriesLeft - 1)))
                  : Single.succeeded(response);
            });
  }

  private static String serviceName(HttpRequest request) {
    String host = String.valueOf(request.headers().get(HttpHeaderNames.HOST));
    return List.of(host.split("[.:]", 2)).get(0);
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }

  private static final class Service {
    private final Map<String, Target> targets = new ConcurrentHashMap<>();
    private final AtomicInteger nextIndex = new AtomicInteger();

    Target next() {
      List<Target> current = new CopyOnWriteArrayList<>(targets.values());
      return current.get(Math.floorMod(nextIndex.getAndIncrement(), current.size()));
    }
  }

  private final class Target {
    private final HttpClient client;
    private final AtomicInteger inProgress = new AtomicInteger();

    Target(InetSocketAddress address) {
      client = closer.register(HttpEndpoints.client(address)).asClient();
    }

    Single<StreamingHttpResponse> call(HttpRequest request) {
      if (limitPerTarget > 0 && inProgress.get() >= limitPerTarget) {
        return Single.failed(new IOException("the target is at its static limit"));
      }
      inProgress.incrementAndGet();
      return client
          .request(copy(request))
          .beforeFinally(inProgress::decrementAndGet)
          .map(HttpResponse::toStreamingResponse);
    }

    private HttpRequest copy(HttpRequest request) {
      HttpRequest copy = client.newRequest(request.method(), request.requestTarget());
      copy.headers().set(request.headers());
      copy.payloadBody(request.payloadBody().duplicate());
      return copy;
    }
  }
}
