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
 * <p>Within one importance it serves calls of running requests before new requests, as refusing
 * them wastes the work done so far. Among these it serves the oldest call first, or the newest
 * first while overloaded: then the newest call is the one that still has most of its deadline left.
 * A full queue evicts the call that it would serve last in favour of one that goes before it.
 */
public final class AdmissionQueue {
  private static final Comparator<AdmissionTicket> BY_LEAVE_TIME =
      (a, b) ->
          a.leaveNanos != b.leaveNanos
              ? Long.signum(a.leaveNanos - b.leaveNanos)
              : Long.compare(a.sequence, b.sequence);

  private final int capacity;

  /** New requests and calls of running requests. */
  private static final int LANES_OF_IMPORTANCE = 2;

  private final Lane[] lanes = new Lane[LANES_OF_IMPORTANCE * (CallPolicy.MAX_IMPORTANCE + 1)];
  private final TreeSet<AdmissionTicket> byLeaveTime = new TreeSet<>(BY_LEAVE_TIME);
  private boolean newestFirst;
  private long nextSequence;

  public AdmissionQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be at least 1, not " + capacity);
    }
    this.capacity = capacity;
    for (int lane = 0; lane < lanes.length; lane++) {
      lanes[lane] = new Lane();
    }
  }

  public int size() {
    return byLeaveTime.size();
  }

  public boolean isEmpty() {
    return byLeaveTime.isEmpty();
  }

  /** Sets whether the newest call of an importance is served first. */
  public void setNewestFirst(boolean newestFirst) {
    this.newestFirst = newestFirst;
  }

  public boolean isNewestFirst() {
    return newestFirst;
  }

  /**
   * Adds a ticket that leaves at {@code leaveNanos} at the latest.
   *
   * @return the ticket for which there is no room, if any: an evicted one, or the added one itself
   */
  public Optional<AdmissionTicket> add(AdmissionTicket ticket, long nowNanos, long leaveNanos) {
    Optional<AdmissionTicket> evicted = Optional.empty();
    if (size() >= capacity) {
      AdmissionTicket candidate = evictionCandidate();
      if (lane(ticket) < lane(candidate) || (lane(ticket) == lane(candidate) && !newestFirst)) {
        return Optional.of(ticket);
      }
      remove(candidate);
      evicted = Optional.of(candidate);
    }
    ticket.state = AdmissionTicket.State.QUEUED;
    ticket.offeredNanos = nowNanos;
    ticket.leaveNanos = leaveNanos;
    ticket.sequence = nextSequence++;
    lanes[lane(ticket)].append(ticket);
    byLeaveTime.add(ticket);
    return evicted;
  }

  /** Removes and returns the next ticket to serve. */
  public Optional<AdmissionTicket> poll() {
    for (int index = lanes.length - 1; index >= 0; index--) {
      Lane lane = lanes[index];
      if (lane.oldest != null) {
        AdmissionTicket ticket = newestFirst ? lane.newest : lane.oldest;
        remove(ticket);
        return Optional.of(ticket);
      }
    }
    return Optional.empty();
  }

  /** Removes a queued ticket. */
  public void remove(AdmissionTicket ticket) {
    byLeaveTime.remove(ticket);
    lanes[lane(ticket)].unlink(ticket);
    ticket.state = AdmissionTicket.State.CLOSED;
  }

  /** Removes and returns one ticket whose time to leave has come, if there is one. */
  public Optional<AdmissionTicket> pollDue(long nowNanos) {
    if (byLeaveTime.isEmpty() || byLeaveTime.first().leaveNanos - nowNanos > 0) {
      return Optional.empty();
    }
    AdmissionTicket ticket = byLeaveTime.first();
    remove(ticket);
    return Optional.of(ticket);
  }

  /** Removes and returns the tickets below a rank. */
  public List<AdmissionTicket> removeBelow(int rank) {
    List<AdmissionTicket> removed = new ArrayList<>();
    int end = LANES_OF_IMPORTANCE * (rank / AdmissionLevel.GROUPS + 1);
    for (int lane = 0; lane < end; lane++) {
      AdmissionTicket ticket = lanes[lane].oldest;
      while (ticket != null) {
        AdmissionTicket next = ticket.newer;
        if (ticket.shedRank() < rank) {
          remove(ticket);
          removed.add(ticket);
        }
        ticket = next;
      }
    }
    return removed;
  }

  /** When the next ticket has to leave; empty if none waits. */
  public Optional<Long> nextLeaveNanos() {
    return isEmpty() ? Optional.empty() : Optional.of(byLeaveTime.first().leaveNanos);
  }

  /** The time that the oldest ticket has waited; 0 if none waits. */
  public long oldestWaitNanos(long nowNanos) {
    long wait = 0;
    for (Lane lane : lanes) {
      if (lane.oldest != null) {
        wait = Math.max(wait, nowNanos - lane.oldest.offeredNanos);
      }
    }
    return wait;
  }

  private static int lane(AdmissionTicket ticket) {
    return LANES_OF_IMPORTANCE * ticket.importance() + (ticket.isStarted() ? 1 : 0);
  }

  private AdmissionTicket evictionCandidate() {
    for (Lane lane : lanes) {
      if (lane.oldest != null) {
        return newestFirst ? lane.oldest : lane.newest;
      }
    }
    throw new IllegalStateException("the queue is empty");
  }

  /** The waiting tickets of one importance, oldest to newest. */
  private static final class Lane {
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
