package dev.arbutusroad.core.resource;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/** Collects resources and closes them in reverse order of registration. Thread-safe. */
public final class Closer implements AutoCloseable {
  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Registers a resource and returns it. */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  /**
   * Closes all resources, the last registered first.
   *
   * @throws IOException if a resource failed to close; further failures are added as suppressed
   *     exceptions
   */
  @Override
  public synchronized void close() throws IOException {
    IOException failure = null;
    while (!resources.isEmpty()) {
      try {
        resources.pop().close();
      } catch (Exception e) {
        if (failure == null) {
          failure = new IOException("a resource failed to close", e);
        } else {
          failure.addSuppressed(e);
        }
      }
    }
    if (failure != null) {
      throw failure;
    }
  }
}
