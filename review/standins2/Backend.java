import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend of a service, beside one node. */
final class Backend {
  final Bed bed;
  final String service;
  final int port;
  final int slots;
  volatile int control;
  volatile String id;
  volatile long born;
  volatile int seq;
  volatile boolean up;
  volatile boolean draining;
  volatile boolean beating = true;
  volatile long leftAckMillis = Long.MAX_VALUE;

  /** Mean work of one request in milliseconds. */
  volatile int workMillis = 120;

  /** Shares of requests that meet a fault of the backend. */
  volatile double lose;

  volatile double loseByReset;
  volatile double extra;
  volatile double extraLate;
  volatile double unframed;
  volatile double unframedReset;
  volatile double cut;
  volatile double early;
  volatile double shed;

  final AtomicInteger running = new AtomicInteger();
  private volatile ServerSocket server;
  private final Set<Wire> wires = ConcurrentHashMap.newKeySet();

  Backend(Bed bed, String service, int port, int slots) {
    this.bed = bed;
    this.service = service;
    this.port = port;
    this.slots = slots;
  }

  /** Starts a new boot. */
  void start(boolean newId) throws IOException {
    if (newId || id == null) {
      id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 24);
    }
    born = System.currentTimeMillis();
    seq = 0;
    draining = false;
    leftAckMillis = Long.MAX_VALUE;
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
    server = socket;
    up = true;
    Bed.thread(
        () -> {
          while (!socket.isClosed()) {
            try {
              Socket accepted = socket.accept();
              Bed.thread(() -> serve(accepted, socket));
            } catch (IOException e) {
              return;
            }
          }
        });
    String boot = id;
    Bed.thread(
        () -> {
          while (up && boot.equals(id) && server == socket) {
            if (beating) {
              beat(draining ? "draining" : "ready");
            }
            Bed.sleep(1_000);
          }
        });
  }

  /** Crashes: all connections break, nothing more is said. */
  void crash() {
    up = false;
    try {
      server.close();
    } catch (IOException e) {
      // It is closed already.
    }
    wires.forEach(Wire::reset);
    wires.clear();
  }

  /** Sends a report; returns whether it was acknowledged. */
  boolean beat(String state) {
    String body = report(state, ++seq);
    boolean acked = call("PUT", body);
    if (acked && state.equals("draining") && leftAckMillis == Long.MAX_VALUE) {
      leftAckMillis = System.currentTimeMillis();
    }
    return acked;
  }

  String report(String state, int number) {
    return ("{\"address\":\"127.0.0.1:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
            + "\"zone\":\"z1\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq\":%d,"
            + "\"warmupLeftMs\":0}}")
        .formatted(port, born, service, slots, state, number);
  }

  boolean call(String method, String body) {
    try (Wire wire = Wire.connect(control, 1_000)) {
      wire.socket.setSoTimeout(1_000);
      wire.send(
          method
              + " /instances/"
              + id
              + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
              + body.length()
              + "\r\nConnection: close\r\n\r\n",
          body.getBytes(StandardCharsets.UTF_8));
      Wire.Head head = wire.readHead();
      return head != null && head.status() / 100 == 2;
    } catch (IOException e) {
      return false;
    }
  }

  private void serve(Socket socket, ServerSocket owner) {
    try (Wire wire = new Wire(socket)) {
      wires.add(wire);
      if (owner != server) {
        return;
      }
      for (Wire.Head head = wire.readHead(); head != null; head = wire.readHead()) {
        if (head.target().equals("/healthz")) {
          wire.readBody(head, false);
          wire.send(
              "HTTP/1.1 "
                  + (draining ? "503 X" : "200 OK")
                  + "\r\nInstance-Id: "
                  + id
                  + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        if (!request(wire, head)) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller has gone.
    }
  }

  private boolean hit(double share) {
    return share > 0 && ThreadLocalRandom.current().nextDouble() < share;
  }

  private boolean request(Wire wire, Wire.Head head) throws IOException {
    String requestId = head.field("request-id");
    String expected = head.field("expected-instance");
    String own = "Request-Id: " + requestId + "\r\n";
    boolean isLong =
        head.fields().containsKey("transfer-encoding")
            || (!head.field("content-length").isEmpty()
                && Integer.parseInt(head.field("content-length")) > 30_000);
    if (isLong && hit(early)) {
      wire.send(
          "HTTP/1.1 503 X\r\n" + own + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      Bed.sleep(30);
      wire.readBody(head, false);
      return true;
    }
    byte[] body = wire.readBody(head, false);
    if (!expected.isEmpty() && !expected.equals(id)) {
      wire.send(
          "HTTP/1.1 421 X\r\n" + own + "Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    if (running.get() >= slots || hit(shed)) {
      wire.send("HTTP/1.1 503 X\r\n" + own + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    running.incrementAndGet();
    Bed.Run run = bed.started(this, head, body);
    try {
      long left = head.field("deadline-ms").isEmpty() ? 10_000 : Long.parseLong(head.field("deadline-ms"));
      long work = (long) (workMillis * (0.5 + ThreadLocalRandom.current().nextDouble()));
      boolean late = work > left;
      run.workMillis = Math.min(work, left);
      if (!wire.stayOpen(run.workMillis)) {
        run.end = "dropped";
        run.endMillis = System.currentTimeMillis();
        return false;
      }
      run.end = late ? "504" : "200";
      run.endMillis = System.currentTimeMillis();
      if (late) {
        wire.send("HTTP/1.1 504 X\r\n" + own + "Server-Seal: " + requestId + ".s\r\nContent-Length: 0\r\n\r\n");
        return true;
      }
    } finally {
      running.decrementAndGet();
    }
    if (hit(lose)) {
      wire.stayOpen(20_000);
      return false;
    }
    if (hit(loseByReset)) {
      wire.reset();
      return false;
    }
    byte[] answer = Bed.answerBody(requestId);
    String status = "HTTP/1.1 200 OK\r\n" + own + "Server-Seal: " + requestId + ".s\r\n";
    if (hit(unframed)) {
      wire.send(status + "\r\n", answer);
      return false;
    }
    if (hit(unframedReset)) {
      wire.send(status + "\r\n", java.util.Arrays.copyOf(answer, answer.length / 2));
      Bed.sleep(20);
      wire.reset();
      return false;
    }
    String framed = status + "Content-Length: " + answer.length + "\r\n\r\n";
    if (hit(cut)) {
      wire.send(framed, java.util.Arrays.copyOf(answer, answer.length / 2));
      return false;
    }
    wire.send(framed, answer);
    if (hit(extra)) {
      wire.send(framed, answer);
    }
    if (hit(extraLate)) {
      Bed.sleep(ThreadLocalRandom.current().nextInt(1, 60));
      wire.send(framed, answer);
    }
    return true;
  }
}
