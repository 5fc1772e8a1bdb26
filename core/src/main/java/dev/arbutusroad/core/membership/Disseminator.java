package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

/**
 * The queue of changes (rumors) that are piggybacked on datagrams.
 *
 * <p>Among n members each change is sent about 3 ln(n) times. Within a priority the change that was
 * sent least often comes first.
 */
final class Disseminator {
  /** With 3 ln(n) random sends by every member, a member misses a change with probability n^-3. */
  static final double RETRANSMIT_FACTOR = 3.0;

  /** Differences that outlast this time, such as after a partition, are left to state exchanges. */
  static final long RUMOR_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** The maximum number of changes examined for one datagram. */
  private static final int MAX_EXAMINED = 64;

  private record Rumor(
      RumorKey key, RumorPriority priority, int sendCount, long order, long createdNanos) {
    boolean isExpired(long nowNanos) {
      return nowNanos - createdNanos >= RUMOR_LIFETIME_NANOS;
    }

    Rumor withSendCounted() {
      return new Rumor(key, priority, sendCount + 1, order, createdNanos);
    }
  }

  private final Map<RumorKey, Rumor> byKey = new HashMap<>();
  private final TreeSet<Rumor> queue =
      new TreeSet<>(
          Comparator.comparing(Rumor::priority)
              .thenComparingInt(Rumor::sendCount)
              .thenComparingLong(Rumor::order));
  private long nextOrder;

  /** Returns how often each change is sent among {@code members} members. */
  static int retransmitLimit(int members) {
    return (int) Math.ceil(RETRANSMIT_FACTOR * Math.log(members + 1.0));
  }

  /** Adds a change. It replaces a queued change with the same key, and its sends count from 0. */
  void add(RumorKey key, RumorPriority priority, long nowNanos) {
    Rumor rumor = new Rumor(key, priority, 0, nextOrder++, nowNanos);
    Rumor old = byKey.put(key, rumor);
    if (old != null) {
      queue.remove(old);
    }
    queue.add(rumor);
  }

  /** Drops the changes whose lifetime has ended without sending them again. */
  void expire(long nowNanos) {
    if (queue.removeIf(rumor -> rumor.isExpired(nowNanos))) {
      byKey.values().removeIf(rumor -> rumor.isExpired(nowNanos));
    }
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Returns whether an urgent change is queued, which may use the reserve of the byte budget. */
  boolean hasUrgent() {
    return !queue.isEmpty() && queue.first().priority() == RumorPriority.URGENT;
  }

  int size() {
    return queue.size();
  }

  /**
   * Selects the next changes whose sizes fit into a budget and counts them as sent once.
   *
   * @param lowestPriority the lowest priority that is selected
   */
  List<RumorKey> select(
      int budgetBytes,
      int members,
      RumorPriority lowestPriority,
      ToIntFunction<RumorKey> sizeBytes) {
    List<Rumor> selected = new ArrayList<>();
    int remaining = budgetBytes;
    int examined = 0;
    for (Rumor rumor : queue) {
      if (rumor.priority().compareTo(lowestPriority) > 0) {
        break;
      }
      int size = sizeBytes.applyAsInt(rumor.key());
      if (size <= remaining) {
        selected.add(rumor);
        remaining -= size;
      }
      if (++examined >= MAX_EXAMINED) {
        break;
      }
    }
    int limit = retransmitLimit(members);
    for (Rumor rumor : selected) {
      recordSend(rumor, limit);
    }
    return selected.stream().map(Rumor::key).toList();
  }

  private void recordSend(Rumor rumor, int limit) {
    queue.remove(rumor);
    Rumor next = rumor.withSendCounted();
    if (next.sendCount() >= limit) {
      byKey.remove(rumor.key());
    } else {
      byKey.put(rumor.key(), next);
      queue.add(next);
    }
  }
}
