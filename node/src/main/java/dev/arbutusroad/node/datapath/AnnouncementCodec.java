package dev.arbutusroad.node.datapath;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Decodes the JSON body of a target's announcement. */
final class AnnouncementCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Pattern SERVICE_NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  private AnnouncementCodec() {}

  static Either<Failure, LocalTarget> decode(String body) {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return invalid("the announcement is not JSON");
    }
    String service = node.path("service").asText("");
    if (!SERVICE_NAME.matcher(service).matches()) {
      return invalid("service must match " + SERVICE_NAME + ", not \"" + service + "\"");
    }
    Optional<InetSocketAddress> address = Addresses.parse(node.path("address").asText(""));
    if (address.isEmpty()) {
      return invalid("address must be ip:port");
    }
    return Either.right(
        new LocalTarget(
            service, address.orElseThrow(), path(node, "healthPath"), path(node, "loadPath")));
  }

  private static Optional<String> path(JsonNode node, String name) {
    return Optional.of(node.path(name).asText("")).filter(path -> path.startsWith("/"));
  }

  private static Either<Failure, LocalTarget> invalid(String detail) {
    return Either.left(new Failure(ResultCode.BAD_REQUEST, detail));
  }
}
