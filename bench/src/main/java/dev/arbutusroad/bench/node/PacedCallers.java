package dev.arbutusroad.bench.node;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests at a fixed total rate from callers that each use their own connection. */
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

  /** Low enough that a slow answer does not delay the next call on the connection. */
  private static final int CALLS_PER_SECOND_PER_CONNECTION = 4;

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
    int callers = Math.max(1, ratePerSecond / CALLS_PER_SECOND_PER_CONNECTION);
    long startNanos = System.nanoTime();
    for (int i = 0; i < callers; i++) {
      int firstCall = i;
      Thread thread = new Thread(() -> run(startNanos, firstCall, callers), "paced-caller");
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

  private void run(long startNanos, int firstCall, int callers) {
    double intervalNanos = (double) TimeUnit.SECONDS.toNanos(1) / ratePerSecond;
    try {
      Socket socket = null;
      for (long call = firstCall; !stopped; call += callers) {
        TimeUnit.NANOSECONDS.sleep(startNanos + (long) (call * intervalNanos) - System.nanoTime());
        socket = socket == null ? connect() : socket;
        if (callSucceeds(socket)) {
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

  /** Sends a request and reads its response; returns whether the status is 200. */
  private static boolean callSucceeds(Socket socket) {
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
