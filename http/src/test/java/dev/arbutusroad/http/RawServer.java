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

/** A server over a plain socket, whose answers are written byte by byte by a test. */
final class RawServer implements Closeable {
  /** Writes the bytes sent after the head of each request. */
  interface Script {
    /**
     * Answers one request.
     *
     * @param number the number of the request over all connections, from 1
     */
    void answer(int number, OutputStream out) throws IOException;
  }

  private final ServerSocket socket;
  private final Script script;
  private final List<Integer> connectionOfRequest = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();
  private volatile boolean connectionFailed;

  RawServer(Script script) throws IOException {
    this.script = script;
    this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startDaemon(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
  }

  /** Returns for each request the number of its connection, from 1. */
  List<Integer> connectionOfRequest() {
    return connectionOfRequest;
  }

  /** Returns whether a connection has failed, for example because the client closed it. */
  boolean hasConnectionFailed() {
    return connectionFailed;
  }

  private void accept() {
    try {
      while (true) {
        Socket client = socket.accept();
        int number = connections.incrementAndGet();
        startDaemon(() -> serve(client, number));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket client, int connectionNumber) {
    try (client) {
      while (readHead(client.getInputStream())) {
        connectionOfRequest.add(connectionNumber);
        script.answer(connectionOfRequest.size(), client.getOutputStream());
        client.getOutputStream().flush();
      }
    } catch (IOException e) {
      connectionFailed = true;
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

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
