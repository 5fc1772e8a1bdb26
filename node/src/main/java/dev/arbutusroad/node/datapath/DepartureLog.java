package dev.arbutusroad.node.datapath;

import java.util.Optional;
import java.util.function.Consumer;

/** Keeps the latest departure of the local target beyond the life of the node's process. */
public interface DepartureLog {
  /** Keeps nothing, for deployments whose targets have no ids. */
  static DepartureLog none() {
    return new DepartureLog() {
      @Override
      public void record(Departure departure, Runnable onRecorded) {
        onRecorded.run();
      }

      @Override
      public void read(Consumer<Optional<Departure>> callback) {
        callback.accept(Optional.empty());
      }
    };
  }

  /**
   * Records a departure in place of an earlier one, and repeats the attempt if it fails.
   *
   * @param onRecorded called on the data path's thread once the departure is recorded; it may be
   *     called late, or never while the store is away
   */
  void record(Departure departure, Runnable onRecorded);

  /**
   * Reads the latest departure.
   *
   * @param callback called on the data path's thread; empty if none is recorded or if the read
   *     failed
   */
  void read(Consumer<Optional<Departure>> callback);
}
