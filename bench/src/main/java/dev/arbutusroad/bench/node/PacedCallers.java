package dev.arbutusroad.bench.node;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Callers that send requests at a fixed rate in all, each on a connection of its own. */
final class PacedCallers {
  private static final byte[] REQUEST =
      """
      GET /plans/1?detail=all HTTP/1.1\r
      Host: planner\r
      arbutus-deadline-ms: 5000\r
      Accept: */*\r
      \r
      """
          .getBytes(StandardCharsets.US_ASCII);

  /** Calls that one connection makes a second, which leaves room for slow answers. */
  private static final int CALLS_OF_CALLER = 4;

  private final int port;
  private final int ratePerSecond;
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private volatile boolean stopped;

  PacedCallers(int port, int ratePerSecond) {
    this.port = port;
    this.ratePerSecond = ratePerSecond;
  }

  void start() {
    int callers = Math.max(1, ratePerSecond / CALLS_OF_CALLER);
    long startNanos = System.nanoTime();
    for (int i = 0; i < callers; i++) {
      int first = i;
      Thread thread = new Thread(() -> run(startNanos, first, callers), "paced-caller");
      thread.setDaemon(true);
      thread.start();
    }
  }

  void stop() {
    stopped = true;
  }

  long answered() {
    return answered.get();
  }

  long failed() {
    return failed.get();
  }

  private void run(long startNanos, int first, int callers) {
    double gapNanos = (double) TimeUnit.SECONDS.toNanos(1) / ratePerSecond;
    try {
      Socket socket = null;
      for (long call = first; !stopped; call += callers) {
        TimeUnit.NANOSECONDS.sleep(startNanos + (long) (call * gapNanos) - System.nanoTime());
        socket = socket == null ? connect() : socket;
        if (succeeds(socket)) {
          answered.incrementAndGet();
        } else {
          failed.incrementAndGet();
          socket.close();
          socket = null;
        }
      }
    } catch (IOException e) {
      failed.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static boolean succeeds(Socket socket) {
    try {
      socket.getOutputStream().write(REQUEST);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) in.readUnsignedByte());
      }
      boolean ok = head.indexOf("HTTP/1.1 200") == 0;
      if (ok) {
        in.readFully(new byte[FixedTarget.BODY_BYTES]);
      }
      return ok;
    } catch (IOException e) {
      return false;
    }
  }
}
