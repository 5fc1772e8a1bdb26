package dev.arbutusroad.core.store;

import java.io.Closeable;

/** What the platform gives a process: its table, the changes of the table and its objects. */
public interface PlatformServices extends TableService, ChangeFeed, Closeable {
  /** The object store of the same platform. */
  ObjectStore objects();
}
