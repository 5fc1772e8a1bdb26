package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.config.CallPolicy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A bounded queue in strict order of importance.
 *
 * <p>Within one importance it serves child calls before new requests, as refusing a child call
 * wastes the work done for its request so far. Calls of equal priority are served oldest first, or
 * newest first during overload, when the newest call has the most time left until its deadline. A
 * full queue evicts the call that it would serve last if the new call is served before it.
 */
public final class AdmissionQueue {
  private static final Comparator<AdmissionTicket> BY_QUEUE_DEADLINE =
      (a, b) ->
          a.queueDeadlineNanos != b.queueDeadlineNanos
              ? Long.signum(a.queueDeadlineNanos - b.queueDeadlineNanos)
              : Long.compare(a.sequence, b.sequence);

  private final int capacity;

  /** New requests have the lower and child calls the higher priority within one importance. */
  private static final int PRIORITIES_PER_IMPORTANCE = 2;

  private final TicketList[] listsByPriority =
      new TicketList[PRIORITIES_PER_IMPORTANCE * (CallPolicy.MAX_IMPORTANCE + 1)];
  private final TreeSet<AdmissionTicket> byQueueDeadline = new TreeSet<>(BY_QUEUE_DEADLINE);
  private boolean newestFirst;
  private long nextSequence;

  public AdmissionQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be at least 1, not " + capacity);
    }
    this.capacity = capacity;
    for (int priority = 0; priority < listsByPriority.length; priority++) {
      listsByPriority[priority] = new TicketList();
    }
  }

  public int size() {
    return byQueueDeadline.size();
  }

  public boolean isEmpty() {
    return byQueueDeadline.isEmpty();
  }

  /** Sets whether the newest of the calls of equal priority is served first. */
  public void setNewestFirst(boolean newestFirst) {
    this.newestFirst = newestFirst;
  }

  public boolean isNewestFirst() {
    return newestFirst;
  }

  /**
   * Adds a ticket that stays until {@code queueDeadlineNanos} at the latest.
   *
   * @return the ticket that the full queue rejects, if any: an evicted one or the given one
   */
  public Optional<AdmissionTicket> add(
      AdmissionTicket ticket, long nowNanos, long queueDeadlineNanos) {
    Optional<AdmissionTicket> evicted = Optional.empty();
    if (size() >= capacity) {
      AdmissionTicket candidate = evictionCandidate();
      if (priority(ticket) < priority(candidate)
          || (priority(ticket) == priority(candidate) && !newestFirst)) {
        return Optional.of(ticket);
      }
      remove(candidate);
      evicted = Optional.of(candidate);
    }
    ticket.state = AdmissionTicket.State.QUEUED;
    ticket.enqueuedNanos = nowNanos;
    ticket.queueDeadlineNanos = queueDeadlineNanos;
    ticket.sequence = nextSequence++;
    listsByPriority[priority(ticket)].append(ticket);
    byQueueDeadline.add(ticket);
    return evicted;
  }

  /** Removes and returns the next ticket to serve; empty if none is queued. */
  public Optional<AdmissionTicket> poll() {
    for (int priority = listsByPriority.length - 1; priority >= 0; priority--) {
      TicketList list = listsByPriority[priority];
      if (list.oldest != null) {
        AdmissionTicket ticket = newestFirst ? list.newest : list.oldest;
        remove(ticket);
        return Optional.of(ticket);
      }
    }
    return Optional.empty();
  }

  /** Removes a queued ticket. */
  public void remove(AdmissionTicket ticket) {
    byQueueDeadline.remove(ticket);
    listsByPriority[priority(ticket)].unlink(ticket);
    ticket.state = AdmissionTicket.State.CLOSED;
  }

  /** Removes and returns a ticket whose queue deadline has passed, if there is one. */
  public Optional<AdmissionTicket> pollExpired(long nowNanos) {
    if (byQueueDeadline.isEmpty() || byQueueDeadline.first().queueDeadlineNanos - nowNanos > 0) {
      return Optional.empty();
    }
    AdmissionTicket ticket = byQueueDeadline.first();
    remove(ticket);
    return Optional.of(ticket);
  }

  /** Removes and returns the tickets whose effective rank is below a rank. */
  public List<AdmissionTicket> removeBelow(int rank) {
    List<AdmissionTicket> removed = new ArrayList<>();
    int endPriority = PRIORITIES_PER_IMPORTANCE * (rank / AdmissionLevel.ORIGIN_GROUPS + 1);
    for (int priority = 0; priority < endPriority; priority++) {
      AdmissionTicket ticket = listsByPriority[priority].oldest;
      while (ticket != null) {
        AdmissionTicket next = ticket.newer;
        if (ticket.effectiveRank() < rank) {
          remove(ticket);
          removed.add(ticket);
        }
        ticket = next;
      }
    }
    return removed;
  }

  /** Returns the earliest queue deadline; empty if no ticket is queued. */
  public Optional<Long> nextQueueDeadlineNanos() {
    return isEmpty() ? Optional.empty() : Optional.of(byQueueDeadline.first().queueDeadlineNanos);
  }

  /** Returns how long the oldest ticket has waited; 0 if none is queued. */
  public long oldestWaitNanos(long nowNanos) {
    long wait = 0;
    for (TicketList list : listsByPriority) {
      if (list.oldest != null) {
        wait = Math.max(wait, nowNanos - list.oldest.enqueuedNanos);
      }
    }
    return wait;
  }

  private static int priority(AdmissionTicket ticket) {
    return PRIORITIES_PER_IMPORTANCE * ticket.importance() + (ticket.isChildCall() ? 1 : 0);
  }

  private AdmissionTicket evictionCandidate() {
    for (TicketList list : listsByPriority) {
      if (list.oldest != null) {
        return newestFirst ? list.oldest : list.newest;
      }
    }
    throw new IllegalStateException("the queue is empty");
  }

  /** A doubly linked list of the queued tickets of one priority, oldest to newest. */
  private static final class TicketList {
    private AdmissionTicket oldest;
    private AdmissionTicket newest;

    void append(AdmissionTicket ticket) {
      ticket.older = newest;
      if (newest == null) {
        oldest = ticket;
      } else {
        newest.newer = ticket;
      }
      newest = ticket;
    }

    void unlink(AdmissionTicket ticket) {
      if (ticket.older == null) {
        oldest = ticket.newer;
      } else {
        ticket.older.newer = ticket.newer;
      }
      if (ticket.newer == null) {
        newest = ticket.older;
      } else {
        ticket.newer.older = ticket.older;
      }
      ticket.older = null;
      ticket.newer = null;
    }
  }
}
