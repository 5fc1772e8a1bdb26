package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.net.Addresses;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A target that reads the head of each request and then runs a script that writes raw bytes. */
final class RawTarget implements AutoCloseable {
  private final ServerSocket server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<String> heads = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();

  private RawTarget(ServerSocket server) {
    this.server = server;
  }

  static RawTarget start(Script script) throws IOException {
    RawTarget target = new RawTarget(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    target.threads.execute(() -> target.accept(script));
    return target;
  }

  InetSocketAddress address() {
    return Addresses.of("127.0.0.1", server.getLocalPort());
  }

  /** Returns the heads of the received requests, in order. */
  List<String> heads() {
    return heads;
  }

  /** Returns the number of connections that were accepted so far. */
  int connections() {
    return connections.get();
  }

  private void accept(Script script) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        threads.execute(() -> serve(socket, script));
      } catch (IOException e) {
        return; // closed by the test
      }
    }
  }

  private void serve(Socket socket, Script script) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String head = readHead(in);
      while (!head.isEmpty()) {
        heads.add(head);
        if (!script.answer(head, in, socket.getOutputStream())) {
          return;
        }
        head = readHead(in);
      }
    } catch (IOException e) {
      heads.add("connection lost: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    int octet = in.read();
    while (octet >= 0) {
      head.append((char) octet);
      if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
        return head.toString();
      }
      octet = in.read();
    }
    return "";
  }

  static void write(OutputStream out, String text) {
    try {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }

  /** The reaction of the target to a request. */
  @FunctionalInterface
  interface Script {
    /** Answers a request whose head has been read; returns whether the connection stays open. */
    boolean answer(String head, InputStream in, OutputStream out)
        throws IOException, InterruptedException;
  }
}
