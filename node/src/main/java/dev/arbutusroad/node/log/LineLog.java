package dev.arbutusroad.node.log;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * An asynchronous log of structured lines that never blocks its callers.
 *
 * <p>Lines are queued in a bounded ring buffer, and a thread writes them in batches. A full ring
 * drops new lines; their number is logged with the next batch.
 */
public final class LineLog implements AutoCloseable {
  /** Holds the lines of one second at the design rate of a node, with spare room for a burst. */
  private static final int RING_CAPACITY = 2_048;

  /** The interval between batches. A write per line would cost more than formatting the line. */
  private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final long STOP_TIMEOUT_MILLIS = 500;

  private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(RING_CAPACITY);
  private final LongAdder dropped = new LongAdder();
  private final PrintStream out;
  private final Thread thread = new Thread(this::run, "log");
  private volatile boolean closed;

  private LineLog(PrintStream out) {
    this.out = out;
  }

  /** Starts a log that writes to {@code out}. */
  public static LineLog start(PrintStream out) {
    LineLog log = new LineLog(out);
    log.thread.setDaemon(true);
    log.thread.start();
    return log;
  }

  /** Queues a line, given without its terminator. Thread-safe. */
  public void add(String line) {
    if (!ring.offer(line)) {
      dropped.increment();
    }
  }

  private void run() {
    while (!closed) {
      LockSupport.parkNanos(this, WRITE_INTERVAL_NANOS);
      writeBatch();
    }
    writeBatch();
  }

  private void writeBatch() {
    StringBuilder batch = new StringBuilder();
    for (String line = ring.poll(); line != null; line = ring.poll()) {
      batch.append(line).append('\n');
    }
    long droppedLines = dropped.sumThenReset();
    if (droppedLines > 0) {
      batch.append("event=log_lines_dropped count=").append(droppedLines).append('\n');
    }
    if (batch.length() > 0) {
      out.print(batch);
      out.flush();
    }
  }

  /** Writes the queued lines and stops, waiting a limited time for the writer thread. */
  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(thread);
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
