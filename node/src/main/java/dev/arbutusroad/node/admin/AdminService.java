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
 * Serves operators: {@code /healthz}, {@code /metrics}, {@code /dump} and {@code /config/notify}.
 *
 * <p>Snapshots are taken by the threads that own the state; they are formatted on the thread of the
 * listener, so that a large dump delays no call.
 */
public final class AdminService implements ExchangeHandler {
  private static final String JSON = "application/json";
  private static final String METRICS = "text/plain; version=0.0.4; charset=utf-8";
  private static final String KNOWN =
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
      case "GET /dump" -> TextAnswers.of(HttpResponseStatus.OK, JSON, json(source.state()));
      case "GET /metrics" -> TextAnswers.of(HttpResponseStatus.OK, METRICS, metrics());
      case "POST /config/notify" -> {
        source.onConfigurationNotice();
        Answer done = Answer.of(HttpResponseStatus.NO_CONTENT, Unpooled.EMPTY_BUFFER);
        done.headers().remove("content-length");
        yield done;
      }
      default -> unknown(method);
    };
  }

  private Answer health() {
    Optional<String> reason = source.unhealthyReason();
    return TextAnswers.text(
        reason.isPresent() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
        reason.orElse("ok") + "\n");
  }

  private static Answer unknown(HttpMethod method) {
    boolean knownMethod = method.equals(HttpMethod.GET) || method.equals(HttpMethod.POST);
    return TextAnswers.text(
        knownMethod ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.METHOD_NOT_ALLOWED, KNOWN);
  }

  private static byte[] json(Object state) {
    try {
      return JsonFormat.WRITER.writeValueAsBytes(state);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("the state can't be written as JSON", e);
    }
  }

  private byte[] metrics() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      MetricsFormat.WRITER.write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return out.toByteArray();
  }

  /** Loaded with the first dump, as most nodes are never asked for one. */
  private static final class JsonFormat {
    static final ObjectWriter WRITER =
        new ObjectMapper().registerModule(new Jdk8Module()).writerWithDefaultPrettyPrinter();
  }

  /** Loaded with the first scrape. */
  private static final class MetricsFormat {
    static final PrometheusTextFormatWriter WRITER =
        PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();
  }
}
