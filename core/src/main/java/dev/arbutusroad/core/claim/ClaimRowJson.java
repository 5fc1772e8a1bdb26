package dev.arbutusroad.core.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes a {@link ClaimRow} as the JSON text that is stored in the table. */
public final class ClaimRowJson {
  private static final JsonMapper MAPPER = new JsonMapper();

  private ClaimRowJson() {}

  public static String encode(ClaimRow row) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("state", row.state().name());
    root.put("token", row.token());
    root.put("node", row.node());
    root.put("incarnation", row.incarnation());
    row.answer().ifPresent(answer -> root.set("answer", encode(answer)));
    try {
      return MAPPER.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not write a claim row as JSON", e);
    }
  }

  /** Decodes a stored row; a malformed row is a failure and is never treated as absent. */
  public static Either<Failure, ClaimRow> decode(String value) {
    try {
      JsonNode root = MAPPER.readTree(value);
      JsonNode answer = root.get("answer");
      return Either.right(
          new ClaimRow(
              ClaimState.valueOf(root.required("state").asText()),
              root.required("token").asText(),
              root.required("node").asText(),
              root.required("incarnation").asLong(),
              answer == null ? Optional.empty() : decodeAnswer(answer)));
    } catch (IOException | IllegalArgumentException e) {
      return Either.left(
          new Failure(ResultCode.OUTCOME_UNKNOWN, "a claim's row is malformed: " + e.getMessage()));
    }
  }

  private static ObjectNode encode(RecordedAnswer answer) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("status", answer.status());
    ArrayNode headers = node.putArray("headers");
    answer.headers().forEach(header -> headers.addArray().add(header.name()).add(header.value()));
    node.put("body", answer.body());
    return node;
  }

  private static Optional<RecordedAnswer> decodeAnswer(JsonNode node) throws IOException {
    List<RecordedAnswer.Header> headers = new ArrayList<>();
    for (JsonNode header : node.required("headers")) {
      headers.add(
          new RecordedAnswer.Header(header.required(0).asText(), header.required(1).asText()));
    }
    return RecordedAnswer.of(
        node.required("status").asInt(), headers, node.required("body").binaryValue());
  }
}
