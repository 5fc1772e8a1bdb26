package dev.arbutusroad.tools.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the bodies of the stand-in platform's control endpoints. */
final class ControlJson {
  private static final JsonMapper MAPPER = new JsonMapper();

  private ControlJson() {}

  /** Reads {@code {"faults":[{"kind":..., "delayMillis":..., ...}]}}. */
  static List<PlatformFault> decodeFaults(byte[] body) throws IOException {
    List<PlatformFault> faults = new ArrayList<>();
    for (JsonNode node : MAPPER.readTree(body).path("faults")) {
      faults.add(MAPPER.treeToValue(node, PlatformFault.class));
    }
    return faults;
  }

  static byte[] encodeStats(PlatformStats stats) throws IOException {
    return MAPPER.writeValueAsBytes(stats);
  }
}
