package dev.arbutusroad.bench.node;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A target that answers each request with the same body after a fixed latency. */
final class FixedTarget implements Closeable {
  static final int BODY_BYTES = 600;
  private static final int BACKLOG = 512;

  private static final Pattern CALL_HEADER = Pattern.compile("(?i)(arbutus-call: [^\r]+\r\n)");
  private static final int READ_BUFFER_BYTES = 4_096;

  private static final String RESPONSE_START =
      "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: "
          + BODY_BYTES
          + "\r\n";
  private static final String RESPONSE_END = "\r\n" + "x".repeat(BODY_BYTES);

  private final ServerSocket socket;
  private final long latencyMillis;

  FixedTarget(long latencyMillis) throws IOException {
    this.latencyMillis = latencyMillis;
    socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    startDaemon(this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = socket.accept();
        caller.setTcpNoDelay(true);
        startDaemon(() -> serve(caller));
      }
    } catch (IOException e) {
      // The socket was closed at the end of the measurement.
    }
  }

  private void serve(Socket caller) {
    try (caller) {
      for (String head = readHead(caller.getInputStream());
          !head.isEmpty();
          head = readHead(caller.getInputStream())) {
        TimeUnit.MILLISECONDS.sleep(latencyMillis);
        Matcher callHeader = CALL_HEADER.matcher(head);
        String response =
            RESPONSE_START + (callHeader.find() ? callHeader.group(1) : "") + RESPONSE_END;
        caller.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      // The node may close a connection at any time.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads up to the empty line that ends a request head; returns "" at the end of the stream. */
  private static String readHead(InputStream in) throws IOException {
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int count = in.read(buffer);
      if (count < 0) {
        return "";
      }
      head.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
    }
    return head.toString();
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "fixed-target");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
