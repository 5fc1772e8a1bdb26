import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server: accepts connections and hands each request to a behaviour, one at a time each. */
final class Server implements AutoCloseable {
  /** What the server does with a request. */
  interface Behaviour {
    /** Returns whether the connection is kept open. */
    boolean serve(Http.Head request, InputStream in, OutputStream out, Socket connection)
        throws IOException, InterruptedException;
  }

  private static final int BACKLOG = 256;
  private static final int MAX_BIND_ATTEMPTS = 100;

  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final ServerSocket listener;
  private final String id;
  private final Behaviour behaviour;
  private volatile boolean leaving;
  private volatile boolean closed;

  /** Starts a server beside a node. */
  Server(Node node, String id, int receiveBuffer, Behaviour behaviour)
      throws IOException, InterruptedException {
    this.id = id;
    this.behaviour = behaviour;
    listener = listen(node, receiveBuffer);
    Store.daemon(this::acceptAll).start();
  }

  /** Listens on the target address; the listener of an earlier boot may still be closing. */
  private static ServerSocket listen(Node node, int receiveBuffer)
      throws IOException, InterruptedException {
    for (int attempt = 0; ; attempt++) {
      ServerSocket socket = new ServerSocket();
      socket.setReuseAddress(true);
      if (receiveBuffer > 0) {
        socket.setReceiveBufferSize(receiveBuffer);
      }
      try {
        socket.bind(new InetSocketAddress(node.host, node.target), BACKLOG);
        return socket;
      } catch (BindException e) {
        socket.close();
        if (attempt == MAX_BIND_ATTEMPTS) {
          throw e;
        }
        Thread.sleep(20);
      }
    }
  }

  /** Makes the health check fail from now on. */
  void markLeaving() {
    leaving = true;
  }

  private void acceptAll() {
    while (!closed) {
      try {
        Socket connection = listener.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Store.daemon(() -> serveAll(connection)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serveAll(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      boolean open = true;
      for (Http.Head head = Http.readHead(in); open && head != null; ) {
        if (head.startLine().startsWith("GET /healthz ")) {
          out.write(health().getBytes(StandardCharsets.US_ASCII));
        } else if (!head.header("expected-instance").isEmpty()
            && !head.header("expected-instance").equals(id)) {
          Http.readRequestBody(in, head);
          out.write(
              ("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + head.header("request-id")
                      + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
        } else {
          open = behaviour.serve(head, in, out, connection);
        }
        head = open ? Http.readHead(in) : null;
      }
    } catch (IOException e) {
      // The peer has closed or reset the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.remove(connection);
    }
  }

  private String health() {
    return "HTTP/1.1 " + (leaving ? "503 Service Unavailable" : "200 OK") + "\r\nInstance-Id: " + id
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /** Ends the server as a crash does: all its connections are reset at once. */
  void crash() throws IOException {
    closed = true;
    listener.close();
    for (Socket connection : connections) {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  /** Returns a whole answer with a seal. */
  static String answer(Http.Head request, String id, String status, String body) {
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.header("request-id")
        + "\r\nServer-Seal: seal." + id + "." + request.header("request-id")
        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }
}
