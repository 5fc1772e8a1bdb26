package dev.arbutusroad.bench.node;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A target that answers each request with the same bytes after a fixed time. */
final class FixedTarget implements Closeable {
  static final int BODY_BYTES = 600;
  private static final int BACKLOG = 512;

  private static final byte[] ANSWER =
      ("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: "
              + BODY_BYTES
              + "\r\n\r\n"
              + "x".repeat(BODY_BYTES))
          .getBytes(StandardCharsets.US_ASCII);

  private final ServerSocket socket;
  private final long workMillis;

  FixedTarget(long workMillis) throws IOException {
    this.workMillis = workMillis;
    socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = socket.accept();
        caller.setTcpNoDelay(true);
        daemon(() -> serve(caller));
      }
    } catch (IOException e) {
      // The measurement has ended.
    }
  }

  private void serve(Socket caller) {
    try (caller) {
      while (readHead(caller.getInputStream())) {
        TimeUnit.MILLISECONDS.sleep(workMillis);
        caller.getOutputStream().write(ANSWER);
      }
    } catch (IOException e) {
      // The node closed a connection, as it may at any time.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads up to the empty line that ends a head; the requests have no body. */
  private static boolean readHead(InputStream in) throws IOException {
    byte[] buffer = new byte[4_096];
    int matched = 0;
    while (true) {
      int count = in.read(buffer);
      if (count < 0) {
        return false;
      }
      for (int i = 0; i < count; i++) {
        boolean expected = buffer[i] == (matched % 2 == 0 ? '\r' : '\n');
        matched = expected ? matched + 1 : 0;
      }
      if (matched == 4) {
        return true;
      }
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "fixed-target");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
