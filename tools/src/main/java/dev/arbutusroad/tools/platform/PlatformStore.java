package dev.arbutusroad.tools.platform;

import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.core.time.Ticker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The stand-in platform's table and objects, in memory, with the recent history of each row. */
public final class PlatformStore {
  /** Older states of a row are dropped; a read from before the oldest state finds no row. */
  private static final int MAX_STATES_PER_ROW = 8;

  private final Ticker ticker;
  private final TreeMap<String, Deque<State>> rows = new TreeMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();

  /** The version of the last commit; each commit increments it. */
  private long version;

  private record State(long committedNanos, long version, Optional<Row> row) {}

  public PlatformStore(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Returns the row as it was {@code ageNanos} ago. */
  public synchronized Optional<Row> get(String key, long ageNanos) {
    Deque<State> states = rows.get(key);
    return states == null ? Optional.empty() : stateAt(states, ageNanos);
  }

  /** Returns the rows with a prefix as they were {@code ageNanos} ago, sorted by key. */
  public synchronized List<Row> scan(String prefix, int limit, long ageNanos) {
    List<Row> found = new ArrayList<>();
    for (Map.Entry<String, Deque<State>> entry : rows.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix) || found.size() >= limit) {
        break;
      }
      stateAt(entry.getValue(), ageNanos).ifPresent(found::add);
    }
    return found;
  }

  /**
   * Returns the rows of a table in a key range, {@code to} excluded, as of {@code ageNanos} ago.
   */
  public synchronized List<Row> range(String from, Optional<String> to, int limit, long ageNanos) {
    String table = from.substring(0, from.indexOf('/') + 1);
    List<Row> found = new ArrayList<>();
    for (Map.Entry<String, Deque<State>> entry : rows.tailMap(from).entrySet()) {
      boolean pastEnd = to.isPresent() && entry.getKey().compareTo(to.get()) >= 0;
      if (pastEnd || !entry.getKey().startsWith(table) || found.size() >= limit) {
        break;
      }
      stateAt(entry.getValue(), ageNanos).ifPresent(found::add);
    }
    return found;
  }

  /** Applies all writes if every precondition holds, otherwise none. */
  public synchronized CommitResult commit(List<Write> writes) {
    List<String> conflicts = new ArrayList<>();
    for (Write write : writes) {
      if (get(write.key(), 0).map(Row::version).orElse(Write.ABSENT) != write.expectedVersion()) {
        conflicts.add(write.key());
      }
    }
    if (!conflicts.isEmpty()) {
      return CommitResult.conflict(conflicts);
    }
    version++;
    writes.forEach(this::apply);
    return CommitResult.applied(version);
  }

  /** Returns the version of the newest commit. */
  public synchronized long version() {
    return version;
  }

  /** Returns the rows with a prefix that changed after a version; a deleted row is empty. */
  public synchronized List<Row> changesSince(String prefix, long sinceVersion) {
    List<Row> found = new ArrayList<>();
    for (Map.Entry<String, Deque<State>> entry : rows.tailMap(prefix).entrySet()) {
      State newest = entry.getValue().getLast();
      if (entry.getKey().startsWith(prefix) && newest.version() > sinceVersion) {
        found.add(newest.row().orElse(new Row(entry.getKey(), "", newest.version())));
      }
    }
    found.sort(Comparator.comparingLong(Row::version));
    return found;
  }

  public synchronized void putObject(String name, byte[] content) {
    objects.put(name, content.clone());
  }

  public synchronized Optional<byte[]> object(String name) {
    return Optional.ofNullable(objects.get(name)).map(byte[]::clone);
  }

  private void apply(Write write) {
    Optional<Row> row = write.value().map(value -> new Row(write.key(), value, version));
    Deque<State> states = rows.computeIfAbsent(write.key(), key -> new ArrayDeque<>());
    states.addLast(new State(ticker.nanos(), version, row));
    if (states.size() > MAX_STATES_PER_ROW) {
      states.removeFirst();
    }
  }

  private Optional<Row> stateAt(Deque<State> states, long ageNanos) {
    if (ageNanos == 0) {
      return states.getLast().row();
    }
    long readNanos = ticker.nanos() - ageNanos;
    Optional<Row> found = Optional.empty();
    for (State state : states) {
      if (state.committedNanos() - readNanos > 0) {
        break;
      }
      found = state.row();
    }
    return found;
  }
}
