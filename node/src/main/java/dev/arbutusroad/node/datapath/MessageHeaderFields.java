package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.HeaderFields;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import java.util.Optional;

/** Adapts the headers of a Netty HTTP message to {@link HeaderFields}. */
record MessageHeaderFields(HttpHeaders headers) implements HeaderFields {
  MessageHeaderFields {
    Objects.requireNonNull(headers, "headers");
  }

  @Override
  public Optional<String> first(String name) {
    return ArbutusHeaders.text(headers, name);
  }

  @Override
  public void set(String name, String value) {
    headers.set(name, value);
  }

  @Override
  public void remove(String name) {
    headers.remove(name);
  }
}
