package dev.arbutusroad.tools.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The control endpoint: changes the behaviour of a stand-in target and lists its runs. */
final class ControlService implements StreamingHttpService {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TargetState state;

  ControlService(TargetState state) {
    this.state = state;
  }

  @Override
  public Single<StreamingHttpResponse> handle(
      HttpServiceContext context,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory responses) {
    return switch (request.method().name() + " " + request.path()) {
      case "PUT /control" ->
          request
              .payloadBody()
              .collect(StringBuilder::new, ControlService::append)
              .map(json -> change(context, responses, json.toString()));
      case "GET /control" ->
          Single.succeeded(text(context, responses.ok(), json(state.behaviour())));
      case "GET /runs" -> Single.succeeded(text(context, responses.ok(), json(runs())));
      case "GET /attempts" ->
          Single.succeeded(
              text(context, responses.ok(), String.join("\n", state.runs().attempts())));
      default -> Single.succeeded(text(context, responses.notFound(), "unknown endpoint"));
    };
  }

  private Map<String, Object> runs() {
    return Map.of(
        "service", state.service(),
        "runs", state.runs().total(),
        "orders", state.runs().byOrderKey());
  }

  private StreamingHttpResponse change(
      HttpServiceContext context, StreamingHttpResponseFactory responses, String json) {
    try {
      state.change(state.behaviour().with(json));
      return text(context, responses.ok(), json(state.behaviour()));
    } catch (IllegalArgumentException e) {
      return text(context, responses.badRequest(), e.getMessage());
    }
  }

  private static StringBuilder append(StringBuilder text, Buffer buffer) {
    return text.append(buffer.toString(StandardCharsets.UTF_8));
  }

  private static String json(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a control answer can't be written as JSON", e);
    }
  }

  private static StreamingHttpResponse text(
      HttpServiceContext context, StreamingHttpResponse response, String text) {
    return response.payloadBody(
        Publisher.from(context.executionContext().bufferAllocator().fromUtf8(text)));
  }
}
