package dev.arbutusroad.node.datapath;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** Removes the headers that apply to one connection only (RFC 9110, section 7.6.1). */
final class HopByHopHeaders {
  private static final List<String> NAMES =
      List.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HopByHopHeaders() {}

  static void remove(HttpHeaders headers) {
    List<String> listed = new ArrayList<>(0);
    for (String value : headers.getAll("connection")) {
      for (String name : value.split(",", -1)) {
        if (!name.isBlank()) {
          listed.add(name.trim());
        }
      }
    }
    listed.forEach(headers::remove);
    NAMES.forEach(headers::remove);
  }
}
