package dev.arbutusroad.systemtest;

import dev.arbutusroad.systemtest.Installation.Node;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A client that sends one order after the other to one node, on a connection that it keeps for as
 * long as the node does, until the process of the node is gone.
 */
final class PersistentOrders {
  private static final int READ_TIMEOUT_MILLIS = 30_000;
  private static final long RECONNECT_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final Node node;
  private final String name;
  private final Thread thread;
  private final List<String> answered = new CopyOnWriteArrayList<>();
  private final List<String> refused = new CopyOnWriteArrayList<>();
  private final List<String> cut = new CopyOnWriteArrayList<>();
  private int orders;

  private PersistentOrders(Node node, String name) {
    this.node = node;
    this.name = name;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  static List<PersistentOrders> start(Node node, int count) {
    List<PersistentOrders> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      PersistentOrders client = new PersistentOrders(node, "client" + i);
      client.thread.start();
      clients.add(client);
    }
    return clients;
  }

  /** Returns the keys of the orders that got a whole answer other than a refusal. */
  List<String> answered() {
    return answered;
  }

  String[] answeredKeys() {
    return answered.toArray(new String[0]);
  }

  /** Returns the keys of the orders of which the node said that they have not run. */
  String[] refused() {
    return refused.toArray(new String[0]);
  }

  /** Returns the keys of the orders whose connection ended without a whole answer. */
  String[] cut() {
    return cut.toArray(new String[0]);
  }

  void join() throws InterruptedException {
    thread.join(READ_TIMEOUT_MILLIS);
  }

  private void run() {
    while (node.process().isAlive()) {
      try (Socket socket = new Socket(node.caller().getAddress(), node.caller().getPort())) {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        sendOrders(socket);
      } catch (IOException e) {
        // The node does not listen any more, or has reset a connection that it closes.
        LockSupport.parkNanos(RECONNECT_PAUSE_NANOS);
      }
    }
  }

  private void sendOrders(Socket socket) throws IOException {
    while (true) {
      String key = name + "-" + orders++;
      cut.add(key);
      socket
          .getOutputStream()
          .write(
              """
              POST /orders HTTP/1.1\r
              Host: orders\r
              arbutus-order-key: %s\r
              Content-Length: 0\r
              \r
              """
                  .formatted(key)
                  .getBytes(StandardCharsets.US_ASCII));
      String head = readAnswer(socket.getInputStream());
      cut.remove(key);
      (head.contains("arbutus-run: not-run") ? refused : answered).add(key);
      if (head.contains("connection: close")) {
        return;
      }
    }
  }

  /** Reads a whole answer and returns its head in lower case. */
  private static String readAnswer(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int octet = in.read();
      if (octet < 0) {
        throw new IOException("the connection ended");
      }
      head.append((char) octet);
    }
    String fields = head.toString().toLowerCase(Locale.ROOT);
    int lengthStart = fields.indexOf("content-length: ") + "content-length: ".length();
    int length = Integer.parseInt(fields.substring(lengthStart, fields.indexOf('\r', lengthStart)));
    in.skipNBytes(length);
    return fields;
  }
}
