package dev.arbutusroad.node.datapath;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;

/** Removes the headers that apply to one connection only (RFC 9110, section 7.6.1). */
final class HopByHopHeaders {
  private static final AsciiString[] NAMES = {
    AsciiString.cached("connection"),
    AsciiString.cached("keep-alive"),
    AsciiString.cached("proxy-authenticate"),
    AsciiString.cached("proxy-authorization"),
    AsciiString.cached("proxy-connection"),
    AsciiString.cached("te"),
    AsciiString.cached("trailer"),
    AsciiString.cached("transfer-encoding"),
    AsciiString.cached("upgrade")
  };

  private HopByHopHeaders() {}

  static void remove(HttpHeaders headers) {
    if (headers.contains(HttpHeaderNames.CONNECTION)) {
      removeConnectionOptions(headers);
    }
    for (AsciiString name : NAMES) {
      headers.remove(name);
    }
  }

  private static void removeConnectionOptions(HttpHeaders headers) {
    List<String> connectionOptions = new ArrayList<>(2);
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        if (!name.isBlank()) {
          connectionOptions.add(name.trim());
        }
      }
    }
    connectionOptions.forEach(headers::remove);
  }
}
