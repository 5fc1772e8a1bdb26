package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * The body of an HTTP message, streamed from one source to one sink with back-pressure.
 *
 * <p>Parts are buffered until a sink is attached and ready. The source is paused while more than
 * {@link #MAX_BUFFERED_BYTES} or {@link #MAX_BUFFERED_PARTS} are buffered. Must be used on one
 * event loop only.
 */
public final class Body {
  /** Keeps the network busy while a slow sink catches up. */
  static final int MAX_BUFFERED_BYTES = 64 * 1_024;

  /** Bounds the memory for parts of a few bytes, each of which has a fixed overhead. */
  static final int MAX_BUFFERED_PARTS = 512;

  /** A longer body that nobody needs costs more to read than a new connection. */
  static final int MAX_DISCARDED_BYTES = 64 * 1_024;

  static final int MAX_DISCARDED_PARTS = 512;

  private static final BodySource NO_SOURCE =
      new BodySource() {
        @Override
        public void setReading(boolean reading) {}

        @Override
        public void cancel() {}
      };

  private final BodySource source;
  private final Deque<ByteBuf> buffered = new ArrayDeque<>(2);
  private final List<BodyListener> listeners = new ArrayList<>(4);
  private Consumer<ByteBuf> partObserver = part -> {};
  private int bufferedBytes;
  private BodySink sink;
  private boolean sinkReady = true;
  private boolean sourcePaused;
  private boolean delivering;
  private boolean complete;
  private BodyEnd end;

  /** Creates a body to which the source adds the parts. */
  public Body(BodySource source) {
    this.source = source;
  }

  /** Returns an empty body. */
  public static Body empty() {
    return of(Unpooled.EMPTY_BUFFER);
  }

  /** Returns a complete body with the given content, and takes over its reference. */
  public static Body of(ByteBuf whole) {
    Body body = new Body(NO_SOURCE);
    body.add(whole);
    body.complete();
    return body;
  }

  /** Adds a part and takes over its reference; a part added after the end is released. */
  public void add(ByteBuf part) {
    if (end != null || !part.isReadable()) {
      part.release();
      return;
    }
    buffered.add(part);
    bufferedBytes += part.readableBytes();
    deliver();
  }

  /** Tells the sink to flush, as the source has no more parts for the moment. */
  public void flush() {
    if (sink != null && end == null) {
      sink.flush();
    }
  }

  /** Marks the body as complete: no part is added after this call. */
  public void complete() {
    complete = true;
    deliver();
  }

  /** Ends the body with a failure of its source; buffered parts are dropped. */
  public void fail(Throwable cause) {
    if (end == null) {
      end(new BodyEnd.Failed(cause));
      if (sink != null) {
        sink.failed(cause);
      }
    }
  }

  /**
   * Attaches the only sink of the body.
   *
   * @throws IllegalStateException if the body already has a sink
   */
  public void consume(BodySink consumer) {
    if (sink != null) {
      throw new IllegalStateException("the body already has a sink");
    }
    sink = consumer;
    if (end instanceof BodyEnd.Failed failed) {
      sink.failed(failed.cause());
    } else {
      boolean hadBuffered = !buffered.isEmpty();
      deliver();
      if (hadBuffered) {
        flush();
      }
    }
  }

  /** Returns whether the body has a sink, so that no other can be attached. */
  public boolean isConsumed() {
    return sink != null;
  }

  /** Attaches a sink that reads and drops the body, and cancels it beyond a limit. */
  public void discard() {
    consume(
        new BodySink() {
          private int bytes;
          private int parts;

          @Override
          public void part(ByteBuf part) {
            bytes += part.readableBytes();
            parts++;
            part.release();
            if (bytes > MAX_DISCARDED_BYTES || parts > MAX_DISCARDED_PARTS) {
              cancel();
            }
          }

          @Override
          public void flush() {}

          @Override
          public void completed() {}

          @Override
          public void failed(Throwable cause) {}
        });
  }

  /** Sets whether the sink accepts parts; parts are buffered while it does not. */
  public void setReady(boolean ready) {
    boolean hadBuffered = ready && !buffered.isEmpty();
    sinkReady = ready;
    deliver();
    if (hadBuffered) {
      flush();
    }
  }

  /** Closes the connection that the body is read from once the body has ended. */
  public void retireConnection() {
    source.retireConnection();
  }

  /** Drops the rest of the body, and cancels the source unless the body is complete. */
  public void cancel() {
    if (end == null) {
      end(new BodyEnd.Cancelled());
      if (!complete) {
        source.cancel();
      }
    }
  }

  /** Sets an observer that sees each part before the sink; it must not retain the part. */
  public void observe(Consumer<ByteBuf> observer) {
    partObserver = observer;
  }

  /**
   * Adds a listener that is told once how the body ended, before the sink is told; at once if the
   * body has ended.
   */
  public void whenEnded(BodyListener listener) {
    if (end == null) {
      listeners.add(listener);
    } else {
      listener.bodyEnded(end);
    }
  }

  private void deliver() {
    if (sink == null || delivering || end != null) {
      updateSourceReading();
      return;
    }
    delivering = true;
    while (sinkReady && end == null && !buffered.isEmpty()) {
      ByteBuf part = buffered.poll();
      bufferedBytes -= part.readableBytes();
      partObserver.accept(part);
      sink.part(part);
    }
    delivering = false;
    if (end != null) {
      return;
    }
    if (complete && buffered.isEmpty()) {
      end(new BodyEnd.Completed());
      sink.completed();
    } else {
      updateSourceReading();
    }
  }

  private void updateSourceReading() {
    boolean isFull = bufferedBytes > MAX_BUFFERED_BYTES || buffered.size() > MAX_BUFFERED_PARTS;
    boolean pause = isFull && end == null;
    if (pause != sourcePaused && !complete) {
      sourcePaused = pause;
      source.setReading(!pause);
    }
  }

  private void end(BodyEnd bodyEnd) {
    end = bodyEnd;
    for (ByteBuf part = buffered.poll(); part != null; part = buffered.poll()) {
      part.release();
    }
    bufferedBytes = 0;
    updateSourceReading();
    for (BodyListener listener : listeners) {
      listener.bodyEnded(bodyEnd);
    }
    listeners.clear();
  }
}
