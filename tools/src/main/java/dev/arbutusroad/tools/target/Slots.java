package dev.arbutusroad.tools.target;

import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The slots of a target and its bounded FIFO queue of waiting calls. */
final class Slots {
  private final Deque<Permit> waiting = new ArrayDeque<>();
  private int limit;
  private int queueLimit;
  private int running;

  Slots(int limit, int queueLimit) {
    this.limit = limit;
    this.queueLimit = queueLimit;
  }

  /** Changes the limits; running calls above a lower limit continue. */
  void resize(int newLimit, int newQueueLimit) {
    List<Permit> admitted;
    synchronized (this) {
      limit = newLimit;
      queueLimit = newQueueLimit;
      admitted = admitWaiting();
    }
    admitted.forEach(Permit::admit);
  }

  /** Returns a permit that holds a slot, waits for one, or is refused because the queue is full. */
  Permit acquire() {
    Permit permit = new Permit();
    boolean free;
    synchronized (this) {
      free = running < limit;
      if (free) {
        running++;
        permit.state = State.HELD;
      } else if (waiting.size() < queueLimit) {
        waiting.add(permit);
      } else {
        permit.state = State.REFUSED;
      }
    }
    if (free) {
      permit.admit();
    }
    return permit;
  }

  synchronized int running() {
    return running;
  }

  synchronized int queued() {
    return waiting.size();
  }

  private List<Permit> admitWaiting() {
    List<Permit> admitted = new ArrayList<>();
    while (running < limit && !waiting.isEmpty()) {
      Permit next = waiting.poll();
      running++;
      next.state = State.HELD;
      admitted.add(next);
    }
    return admitted;
  }

  private enum State {
    WAITING,
    HELD,
    REFUSED,
    RELEASED
  }

  /** The permit of one call for a slot. */
  final class Permit {
    private final SingleSource.Processor<Permit, Permit> admission =
        Processors.newSingleProcessor();
    private State state = State.WAITING;

    private Permit() {}

    boolean refused() {
      synchronized (Slots.this) {
        return state == State.REFUSED;
      }
    }

    /** Returns whether the call holds a slot. */
    boolean held() {
      synchronized (Slots.this) {
        return state == State.HELD;
      }
    }

    /** Completes once the call has a slot. */
    Single<Permit> admitted() {
      return SourceAdapters.fromSource(admission);
    }

    /** Releases the slot or leaves the queue; further calls have no effect. */
    void release() {
      List<Permit> admitted = List.of();
      synchronized (Slots.this) {
        if (state == State.WAITING) {
          waiting.remove(this);
        } else if (state == State.HELD) {
          running--;
          admitted = admitWaiting();
        }
        state = State.RELEASED;
      }
      admitted.forEach(Permit::admit);
    }

    private void admit() {
      admission.onSuccess(this);
    }
  }
}
