import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send "Connection: close" leave before their answer. Checks at how many of their
 * requests the server is still at work half a second later. For entry 4 of KNOWN-RED.txt.
 */
final class ClosingCaller {
  private static final int REQUESTS = 40;
  private static final long PATIENCE_MILLIS = 200;
  private static final int WORK_MILLIS = 2_500;
  private static final double BOUND_SECONDS = 0.5;

  private ClosingCaller() {}

  public static void main(String[] arguments) throws Exception {
    Scene.play(arguments, ClosingCaller::run);
  }

  private static int run(Scene scene) throws Exception {
    scene.store.put(
        "op",
        "config",
        Scene.desiredState("r7", "huvo11a", "hulo84.example", "/leny950/", "idempotent", 4_000));
    Node client = scene.node("sidecar-a-1", "127.0.0.2", "muscat-a", "wuno96b");
    Node planner = scene.node("sidecar-a-2", "127.0.0.3", "muscat-a", "huvo11a");
    scene.startNodes();
    Recorder recorder = scene.recorder;
    Map<String, Double> left = new ConcurrentHashMap<>();
    AtomicInteger arrived = new AtomicInteger();
    AtomicInteger stillAtWork = new AtomicInteger();
    scene.register(
        new Server(
            planner,
            "i-1",
            0,
            (head, in, out, connection) -> {
              String requestId = head.header("request-id");
              arrived.incrementAndGet();
              boolean worksOn = workUntilClosed(in, connection);
              Double leftAt = left.get(requestId);
              boolean tooLong =
                  leftAt != null && (worksOn || recorder.now() - leftAt > BOUND_SECONDS);
              stillAtWork.addAndGet(tooLong ? 1 : 0);
              recorder.add(requestId + (worksOn ? " is worked on to its end" : " is dropped"));
              if (worksOn) {
                out.write(
                    Server.answer(head, "i-1", "200 OK", "plan")
                        .getBytes(StandardCharsets.US_ASCII));
              }
              return worksOn;
            }));
    scene.register(new Announcements(planner, "i-1", 200, recorder)).start();
    Thread.sleep(6_000); // lets the nodes meet
    for (int i = 0; i < REQUESTS; i++) {
      String requestId = "q" + i;
      Store.daemon(() -> sendAndLeave(client, requestId, scene, left)).start();
      Thread.sleep(100);
    }
    Thread.sleep(WORK_MILLIS + 1_500);
    recorder.add(
        arrived + " requests reached the server; it was at work on " + stillAtWork
            + " of them half a second after their client had left");
    if (arrived.get() < REQUESTS / 2) {
      return Scene.COULD_NOT_RUN;
    }
    return stillAtWork.get() * 4 > arrived.get() ? Scene.BROKEN : Scene.HELD;
  }

  /** Returns whether the connection was still open when the work was done. */
  private static boolean workUntilClosed(InputStream in, Socket connection) throws IOException {
    connection.setSoTimeout(WORK_MILLIS);
    try {
      return in.read() >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    } finally {
      connection.setSoTimeout(0);
    }
  }

  /** With trouble, leaves after its patience; else waits for the answer. */
  private static void sendAndLeave(
      Node client, String requestId, Scene scene, Map<String, Double> left) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(client.host, client.outbound), 1_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          ("GET /leny950/" + requestId + " HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: "
                  + requestId + "\r\nDeadline-Ms: 4000\r\nConnection: close\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      if (scene.trouble) {
        Thread.sleep(PATIENCE_MILLIS);
        left.put(requestId, scene.recorder.now());
      } else {
        Http.readAnswer(socket.getInputStream());
      }
    } catch (IOException | InterruptedException e) {
      scene.recorder.add(requestId + " could not be sent: " + e);
    }
  }
}
