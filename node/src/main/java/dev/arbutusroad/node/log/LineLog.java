package dev.arbutusroad.node.log;

import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes lines of structured log without ever blocking their authors.
 *
 * <p>Lines wait in a bounded ring for a thread that writes them together. A full ring drops the new
 * line; how many were dropped is logged with the next batch.
 */
public final class LineLog implements AutoCloseable {
  /** A second of lines at the design rate of a node, with room for a burst. */
  private static final int CAPACITY = 2_048;

  /** One write each time: a write for each line would cost more than the line. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final long STOP_LIMIT_MILLIS = 500;

  private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(CAPACITY);
  private final LongAdder dropped = new LongAdder();
  private final PrintStream out;
  private final Thread thread = new Thread(this::run, "log");
  private volatile boolean closed;

  private LineLog(PrintStream out) {
    this.out = out;
  }

  /** Starts a log that writes to a stream. */
  public static LineLog start(PrintStream out) {
    LineLog log = new LineLog(out);
    log.thread.setDaemon(true);
    log.thread.start();
    return log;
  }

  /** Adds a line without its end. Any thread may call. */
  public void add(String line) {
    if (!ring.offer(line)) {
      dropped.increment();
    }
  }

  private void run() {
    while (!closed) {
      LockSupport.parkNanos(this, INTERVAL_NANOS);
      write();
    }
    write();
  }

  private void write() {
    StringBuilder batch = new StringBuilder();
    for (String line = ring.poll(); line != null; line = ring.poll()) {
      batch.append(line).append('\n');
    }
    long lost = dropped.sumThenReset();
    if (lost > 0) {
      batch.append("event=log_lines_dropped count=").append(lost).append('\n');
    }
    if (batch.length() > 0) {
      out.print(batch);
      out.flush();
    }
  }

  /** Writes what waits, within a short time. */
  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(thread);
    try {
      thread.join(STOP_LIMIT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
