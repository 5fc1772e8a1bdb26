package dev.arbutusroad.core.label;

import java.util.Objects;

/**
 * The attributes of a call on which selectors can match.
 *
 * @param service the destination service
 * @param method the HTTP method, in upper case
 * @param path the path without the query
 * @param caller the calling service, or {@link #EXTERNAL} for a client
 * @param labels the labels that were sent with the call or attached by labelling rules
 */
public record CallAttributes(
    String service, String method, String path, String caller, Labels labels) {
  /** The caller of a call that comes from a client. */
  public static final String EXTERNAL = "external";

  public CallAttributes {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(labels, "labels");
  }
}
