package dev.arbutusroad.core.store;

import java.io.Closeable;

/** Gives a process access to the platform's table, the changes of the table and its objects. */
public interface PlatformServices extends TableService, ChangeFeed, Closeable {
  /** Returns the object store of the same platform. */
  ObjectStore objects();
}
