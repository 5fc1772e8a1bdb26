package dev.arbutusroad.http;

import java.net.SocketAddress;

/** Told about requests that no handler sees; called on the event loop, so it must not block. */
@FunctionalInterface
public interface MalformedRequestListener {
  /**
   * A request was refused because its head is malformed.
   *
   * @param caller the address of the other side
   * @param reason a text that quotes nothing of the request
   */
  void requestRefused(SocketAddress caller, String reason);
}
