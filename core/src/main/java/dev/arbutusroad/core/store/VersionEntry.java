package dev.arbutusroad.core.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.Objects;

/**
 * The table row of a configuration version. The row of the current version and the history row of
 * that version have the same content.
 *
 * @param version the version
 * @param hash the SHA-256 of the document in hexadecimal digits
 * @param time when it was applied, by the clock of the author's host; informational only
 * @param author the operator who applied it
 * @param token unique for each application of a version; shows after a lost answer whether the
 *     commit took effect
 */
public record VersionEntry(long version, String hash, String time, String author, String token) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  public VersionEntry {
    Objects.requireNonNull(hash, "hash");
    Objects.requireNonNull(time, "time");
    Objects.requireNonNull(author, "author");
    Objects.requireNonNull(token, "token");
  }

  String toJson() {
    return MAPPER
        .createObjectNode()
        .put("version", version)
        .put("hash", hash)
        .put("time", time)
        .put("author", author)
        .put("token", token)
        .toString();
  }

  static Either<Failure, VersionEntry> fromRow(Row row) {
    try {
      JsonNode json = MAPPER.readTree(row.value());
      long version = json.path("version").asLong();
      String hash = json.path("hash").asText();
      if (version < 1 || hash.isEmpty()) {
        return malformed(row);
      }
      return Either.right(
          new VersionEntry(
              version,
              hash,
              json.path("time").asText(),
              json.path("author").asText(),
              json.path("token").asText()));
    } catch (JsonProcessingException e) {
      return malformed(row);
    }
  }

  private static Either<Failure, VersionEntry> malformed(Row row) {
    return Either.left(
        new Failure(
            ResultCode.PLATFORM_REFUSED, "row " + row.key() + " is not a configuration version"));
  }
}
