package dev.arbutusroad.tools.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.tools.http.HttpEndpoints;
import dev.arbutusroad.tools.trace.TraceControl;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tinylog.Logger;

/** Client of the control endpoints of stand-in targets, grouped by service. */
final class TargetControlClient implements AutoCloseable {
  private static final int TIMEOUT_SECONDS = 20;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Closer closer = new Closer();
  private final Map<String, List<HttpClient>> clients = new HashMap<>();

  /** Opens clients of endpoints given as {@code service=host:port}. */
  TargetControlClient(List<String> endpoints) {
    for (String endpoint : endpoints) {
      int equals = endpoint.indexOf('=');
      if (equals < 1) {
        throw new IllegalArgumentException("target \"" + endpoint + "\" is not service=host:port");
      }
      clients
          .computeIfAbsent(endpoint.substring(0, equals), service -> new ArrayList<>())
          .add(
              closer.register(
                  HttpEndpoints.client(HttpEndpoints.parse(endpoint.substring(equals + 1)))
                      .asClient()));
    }
  }

  /** Sends a control change to every target of a service without waiting for the answers. */
  void apply(TraceControl control) {
    for (HttpClient client : clients.getOrDefault(control.service(), List.of())) {
      HttpRequest request =
          client
              .put("/control")
              .payloadBody(
                  client
                      .executionContext()
                      .bufferAllocator()
                      .fromUtf8(control.change().toString()));
      client
          .request(request)
          .whenOnError(
              failure ->
                  Logger.warn(
                      "event=control_failed service={} reason=\"{}\"",
                      control.service(),
                      failure.toString()))
          .subscribe(response -> {});
    }
  }

  /**
   * Returns the number of order keys that ran more than once, over all targets.
   *
   * @throws IOException if a target does not answer
   */
  long doubledRuns() throws IOException {
    Map<String, Integer> runs = new HashMap<>();
    for (String json : requestAll("/runs")) {
      JsonNode orders = parse(json).path("orders");
      orders
          .properties()
          .forEach(entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
    }
    return runs.values().stream().filter(count -> count > 1).count();
  }

  /**
   * Returns how many of the attempts ran on any target.
   *
   * @throws IOException if a target does not answer
   */
  long countExecuted(Collection<String> attempts) throws IOException {
    Set<String> executed = new HashSet<>();
    for (String lines : requestAll("/attempts")) {
      lines.lines().forEach(executed::add);
    }
    return attempts.stream().filter(executed::contains).count();
  }

  private List<String> requestAll(String path) throws IOException {
    List<String> answers = new ArrayList<>();
    for (HttpClient client : clients.values().stream().flatMap(List::stream).toList()) {
      try {
        answers.add(
            client
                .request(client.get(path))
                .toFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .payloadBody()
                .toString(StandardCharsets.UTF_8));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while requesting the runs of a target", e);
      } catch (ExecutionException | TimeoutException e) {
        throw new IOException("a target does not answer GET " + path, e);
      }
    }
    return answers;
  }

  private static JsonNode parse(String json) throws IOException {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new IOException("the runs of a target are not valid JSON", e);
    }
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }
}
