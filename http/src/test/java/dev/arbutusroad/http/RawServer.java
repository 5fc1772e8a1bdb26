package dev.arbutusroad.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server whose answers a test writes byte by byte. */
final class RawServer implements Closeable {
  /** Writes what comes after the head of a request. */
  interface Script {
    /**
     * Answers one request.
     *
     * @param number counts the requests of all connections from 1
     */
    void answer(int number, OutputStream out) throws IOException;
  }

  private final ServerSocket socket;
  private final Script script;
  private final List<Integer> connectionOfRequest = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();
  private volatile boolean broken;

  RawServer(Script script) throws IOException {
    this.script = script;
    this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
  }

  /** For each request the number of the connection that it came on. */
  List<Integer> connectionOfRequest() {
    return connectionOfRequest;
  }

  /** Whether a write failed, as the other side had closed. */
  boolean isBroken() {
    return broken;
  }

  private void accept() {
    try {
      while (true) {
        Socket client = socket.accept();
        int number = connections.incrementAndGet();
        daemon(() -> serve(client, number));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket client, int connection) {
    try (client) {
      while (readHead(client.getInputStream())) {
        connectionOfRequest.add(connection);
        script.answer(connectionOfRequest.size(), client.getOutputStream());
        client.getOutputStream().flush();
      }
    } catch (IOException e) {
      broken = true;
    }
  }

  private static boolean readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      head.append((char) next);
    }
    return true;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
