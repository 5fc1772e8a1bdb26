package dev.arbutusroad.node.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.ExchangeHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/**
 * Serves {@code /healthz}, {@code /metrics}, {@code /dump} and {@code /config/notify} for
 * operators.
 *
 * <p>The threads that own the state take the snapshots. The listener's thread formats them, so that
 * a large dump does not delay calls.
 */
public final class AdminService implements ExchangeHandler {
  private static final String JSON_TYPE = "application/json";
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String KNOWN_ENDPOINTS =
      "known: GET /healthz, GET /metrics, GET /dump, POST /config/notify\n";

  private final AdminSource source;
  private final PrometheusRegistry registry;

  public AdminService(AdminSource source, PrometheusRegistry registry) {
    this.source = source;
    this.registry = registry;
  }

  @Override
  public void handle(Exchange exchange) {
    exchange.body().discard();
    exchange.answer(answer(exchange.request().method(), path(exchange.request().uri())));
  }

  private static String path(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  private Answer answer(HttpMethod method, String path) {
    return switch (method.name() + " " + path) {
      case "GET /healthz" -> health();
      case "GET /dump" -> TextAnswers.of(HttpResponseStatus.OK, JSON_TYPE, json(source.state()));
      case "GET /metrics" -> TextAnswers.of(HttpResponseStatus.OK, METRICS_TYPE, metrics());
      case "POST /config/notify" -> {
        source.onConfigurationNotice();
        Answer noContent = Answer.of(HttpResponseStatus.NO_CONTENT, Unpooled.EMPTY_BUFFER);
        noContent.headers().remove("content-length");
        yield noContent;
      }
      default -> unknownEndpoint(method);
    };
  }

  private Answer health() {
    Optional<String> reason = source.unhealthyReason();
    return TextAnswers.text(
        reason.isPresent() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
        reason.orElse("ok") + "\n");
  }

  private static Answer unknownEndpoint(HttpMethod method) {
    boolean knownMethod = method.equals(HttpMethod.GET) || method.equals(HttpMethod.POST);
    return TextAnswers.text(
        knownMethod ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.METHOD_NOT_ALLOWED,
        KNOWN_ENDPOINTS);
  }

  private static byte[] json(Object state) {
    try {
      return JsonFormat.WRITER.writeValueAsBytes(state);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("cannot serialize the state as JSON", e);
    }
  }

  private byte[] metrics() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      MetricsFormat.WRITER.write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write metrics to a memory buffer", e);
    }
    return out.toByteArray();
  }

  /** Initialized by the first dump, because most nodes never serve one. */
  private static final class JsonFormat {
    static final ObjectWriter WRITER =
        new ObjectMapper().registerModule(new Jdk8Module()).writerWithDefaultPrettyPrinter();
  }

  /** Initialized by the first scrape. */
  private static final class MetricsFormat {
    static final PrometheusTextFormatWriter WRITER =
        PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();
  }
}
