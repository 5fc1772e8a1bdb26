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
 * The queue of changes that are piggybacked on datagrams.
 *
 * <p>Each change is sent about 3 ln(n) times, those sent least often first within a priority.
 */
final class Disseminator {
  /** With 3 ln(n) random sends by every member, a member misses a change with odds of n^-3. */
  static final double RETRANSMIT_FACTOR = 3.0;

  /** What a healed cut leaves behind after this time is reconciled by state exchanges. */
  static final long RUMOR_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Bounds the search for a change that still fits into a datagram. */
  private static final int MAX_EXAMINED = 64;

  private record Rumor(
      RumorKey key, RumorPriority priority, int sent, long order, long createdNanos) {
    boolean isOver(long nowNanos) {
      return nowNanos - createdNanos >= RUMOR_LIFETIME_NANOS;
    }

    Rumor sentOnceMore() {
      return new Rumor(key, priority, sent + 1, order, createdNanos);
    }
  }

  private final Map<RumorKey, Rumor> byKey = new HashMap<>();
  private final TreeSet<Rumor> queue =
      new TreeSet<>(
          Comparator.comparing(Rumor::priority)
              .thenComparingInt(Rumor::sent)
              .thenComparingLong(Rumor::order));
  private long nextOrder;

  /** How often each change is sent among {@code members} members. */
  static int retransmitLimit(int members) {
    return (int) Math.ceil(RETRANSMIT_FACTOR * Math.log(members + 1.0));
  }

  /** Adds a change; one with the same key starts over. */
  void add(RumorKey key, RumorPriority priority, long nowNanos) {
    Rumor rumor = new Rumor(key, priority, 0, nextOrder++, nowNanos);
    Rumor old = byKey.put(key, rumor);
    if (old != null) {
      queue.remove(old);
    }
    queue.add(rumor);
  }

  /** Drops the changes whose time is over without sending them once more. */
  void expire(long nowNanos) {
    if (queue.removeIf(rumor -> rumor.isOver(nowNanos))) {
      byKey.values().removeIf(rumor -> rumor.isOver(nowNanos));
    }
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Whether a change waits that must not wait for the byte budget. */
  boolean hasUrgent() {
    return !queue.isEmpty() && queue.first().priority() == RumorPriority.URGENT;
  }

  int size() {
    return queue.size();
  }

  /**
   * Picks the next changes whose sizes fit into a budget and counts them as sent once.
   *
   * @param least the least priority that is picked
   */
  List<RumorKey> select(
      int budgetBytes, int members, RumorPriority least, ToIntFunction<RumorKey> sizeBytes) {
    List<Rumor> picked = new ArrayList<>();
    int remaining = budgetBytes;
    int examined = 0;
    for (Rumor rumor : queue) {
      if (rumor.priority().compareTo(least) > 0) {
        break;
      }
      int size = sizeBytes.applyAsInt(rumor.key());
      if (size <= remaining) {
        picked.add(rumor);
        remaining -= size;
      }
      if (++examined >= MAX_EXAMINED) {
        break;
      }
    }
    int limit = retransmitLimit(members);
    for (Rumor rumor : picked) {
      countSent(rumor, limit);
    }
    return picked.stream().map(Rumor::key).toList();
  }

  private void countSent(Rumor rumor, int limit) {
    queue.remove(rumor);
    Rumor next = rumor.sentOnceMore();
    if (next.sent() >= limit) {
      byKey.remove(rumor.key());
    } else {
      byKey.put(rumor.key(), next);
      queue.add(next);
    }
  }
}
