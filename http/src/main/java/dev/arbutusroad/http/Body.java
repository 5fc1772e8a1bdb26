package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * The body of a message on its way from one source to one sink.
 *
 * <p>Parts wait until there is a sink and the sink is ready; a source is paused while more than
 * {@link #MAX_WAITING_BYTES} wait. Belongs to one event loop.
 */
public final class Body {
  /** Enough for the network to stay busy while the sink catches up. */
  static final int MAX_WAITING_BYTES = 64 * 1_024;

  private static final BodySource NO_SOURCE =
      new BodySource() {
        @Override
        public void setReading(boolean reading) {}

        @Override
        public void cancel() {}
      };

  private final BodySource source;
  private final Deque<ByteBuf> waiting = new ArrayDeque<>(2);
  private final List<BodyListener> listeners = new ArrayList<>(4);
  private Consumer<ByteBuf> tap = part -> {};
  private int waitingBytes;
  private BodySink sink;
  private boolean sinkReady = true;
  private boolean sourcePaused;
  private boolean draining;
  private boolean complete;
  private BodyEnd end;

  /** Creates a body whose parts the source adds. */
  public Body(BodySource source) {
    this.source = source;
  }

  /** A body without a byte. */
  public static Body empty() {
    return of(Unpooled.EMPTY_BUFFER);
  }

  /** A body that is there as a whole; takes the reference. */
  public static Body of(ByteBuf whole) {
    Body body = new Body(NO_SOURCE);
    body.add(whole);
    body.complete();
    return body;
  }

  /** Adds a part and takes its reference. */
  public void add(ByteBuf part) {
    if (end != null || !part.isReadable()) {
      part.release();
      return;
    }
    waiting.add(part);
    waitingBytes += part.readableBytes();
    drain();
  }

  /** The source has no more parts at present, so the sink sends what it has. */
  public void flush() {
    if (sink != null && end == null) {
      sink.flush();
    }
  }

  /** All parts have been added. */
  public void complete() {
    complete = true;
    drain();
  }

  /** The source broke off; parts that wait are dropped. */
  public void fail(Throwable cause) {
    if (end == null) {
      finish(new BodyEnd.Failed(cause));
      if (sink != null) {
        sink.failed(cause);
      }
    }
  }

  /** Hands the body to its only sink. */
  public void consume(BodySink consumer) {
    if (sink != null) {
      throw new IllegalStateException("the body has a sink already");
    }
    sink = consumer;
    if (end instanceof BodyEnd.Failed failed) {
      sink.failed(failed.cause());
    } else {
      boolean late = !waiting.isEmpty();
      drain();
      if (late) {
        flush();
      }
    }
  }

  /** Whether the body has a sink, so that no other one can have it. */
  public boolean isConsumed() {
    return sink != null;
  }

  /** Reads the body and drops it. */
  public void discard() {
    consume(
        new BodySink() {
          @Override
          public void part(ByteBuf part) {
            part.release();
          }

          @Override
          public void flush() {}

          @Override
          public void completed() {}

          @Override
          public void failed(Throwable cause) {}
        });
  }

  /** Whether the sink takes more parts at present. */
  public void setReady(boolean ready) {
    boolean late = ready && !waiting.isEmpty();
    sinkReady = ready;
    drain();
    if (late) {
      flush();
    }
  }

  /** Has the connection closed that the body comes on, once the body has ended. */
  public void retireConnection() {
    source.retireConnection();
  }

  /** The sink does not want the rest. */
  public void cancel() {
    if (end == null) {
      finish(new BodyEnd.Cancelled());
      if (!complete) {
        source.cancel();
      }
    }
  }

  /** Shows each part to an observer when it is handed over; the observer must not keep it. */
  public void observe(Consumer<ByteBuf> observer) {
    tap = observer;
  }

  /** Tells a listener once how the body ended, just before the sink is told. */
  public void whenEnded(BodyListener listener) {
    if (end == null) {
      listeners.add(listener);
    } else {
      listener.bodyEnded(end);
    }
  }

  private void drain() {
    if (sink == null || draining || end != null) {
      pace();
      return;
    }
    draining = true;
    while (sinkReady && end == null && !waiting.isEmpty()) {
      ByteBuf part = waiting.poll();
      waitingBytes -= part.readableBytes();
      tap.accept(part);
      sink.part(part);
    }
    draining = false;
    if (end != null) {
      return;
    }
    if (complete && waiting.isEmpty()) {
      finish(new BodyEnd.Completed());
      sink.completed();
    } else {
      pace();
    }
  }

  private void pace() {
    boolean pause = waitingBytes > MAX_WAITING_BYTES && end == null;
    if (pause != sourcePaused && !complete) {
      sourcePaused = pause;
      source.setReading(!pause);
    }
  }

  private void finish(BodyEnd how) {
    end = how;
    for (ByteBuf part = waiting.poll(); part != null; part = waiting.poll()) {
      part.release();
    }
    waitingBytes = 0;
    pace();
    for (BodyListener listener : listeners) {
      listener.bodyEnded(how);
    }
    listeners.clear();
  }
}
