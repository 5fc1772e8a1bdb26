import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server in trouble follows some of its refusals with a body that never ends. Checks whether the
 * orders that are unanswered at the time limit of their route are answered soon after it.
 */
final class EndlessBytes {
  private static final long TIME_LIMIT_MILLIS = 1_200;
  private static final long SLACK_MILLIS = 500;
  private static final int CLIENT_TIMEOUT_MILLIS = 8_000;
  private static final int SERVERS = 4;
  private static final double PLAY_SECONDS = 30;

  /** One order in so many at the server in trouble. */
  private static final int TROUBLED_ORDERS = 33;

  private static final long ORDER_INTERVAL_MILLIS = 20;
  private static final long WORK_MILLIS = 100;
  private static final byte[] ENDLESS_CHUNKS =
      "1\r\nz\r\n".repeat(10_000).getBytes(StandardCharsets.US_ASCII);

  private final Scene scene;
  private final Recorder recorder;
  private final AtomicInteger orders = new AtomicInteger();
  private final AtomicInteger troubled = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger never = new AtomicInteger();
  private final AtomicBoolean warm = new AtomicBoolean();

  private EndlessBytes(Scene scene) {
    this.scene = scene;
    recorder = scene.recorder;
  }

  public static void main(String[] arguments) throws Exception {
    Scene.play(arguments, scene -> new EndlessBytes(scene).run());
  }

  private int run() throws Exception {
    scene.store.put(
        "op",
        "config",
        Scene.desiredState(
                "r7",
                "wuno96b",
                "jepu9.example",
                "/puka111/",
                "non_idempotent",
                (int) TIME_LIMIT_MILLIS)
            .replace("\"priority\":1", "\"priority\":0"));
    List<Node> nodes = new ArrayList<>();
    nodes.add(scene.node("sidecar-a-1", "127.0.0.2", "muscat-a", "huvo11a"));
    for (int i = 0; i < SERVERS; i++) {
      nodes.add(
          scene.node("sidecar-a-" + (2 + i), "127.0.0." + (3 + i), "muscat-a", "wuno96b"));
    }
    scene.startNodes();
    for (int i = 0; i < SERVERS; i++) {
      String id = "i-" + (i + 1);
      boolean inTrouble = scene.trouble && i == 0;
      scene.register(
          new Server(
              nodes.get(1 + i),
              id,
              0,
              (head, in, out, connection) -> serve(id, inTrouble, head, in, out)));
      scene.register(new Announcements(nodes.get(1 + i), id, 51, recorder)).start();
    }
    Thread.sleep(8_000); // lets the nodes meet
    warm.set(true);
    double end = recorder.now() + PLAY_SECONDS;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; recorder.now() < end; i++) {
      Node node = nodes.get(i % nodes.size());
      String requestId = "order" + i;
      Thread client = Store.daemon(() -> order(node, requestId));
      client.start();
      clients.add(client);
      Thread.sleep(ORDER_INTERVAL_MILLIS);
    }
    for (Thread client : clients) {
      client.join(CLIENT_TIMEOUT_MILLIS);
    }
    recorder.add(
        String.format(
            "%d orders, %d served; %d were unanswered at the time limit, %d of them still 0.5 s"
                + " later, %d for the 8 s that their client waited",
            orders.get(), served.get(), unanswered.get(), late.get(), never.get()));
    if (served.get() == 0) {
      return Scene.COULD_NOT_RUN;
    }
    return late.get() * 2 > unanswered.get() ? Scene.BROKEN : Scene.HELD;
  }

  private boolean serve(
      String id, boolean inTrouble, Http.Head head, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    Http.readRequestBody(in, head);
    String requestId = head.header("request-id");
    if (!inTrouble || !warm.get() || troubled.incrementAndGet() % TROUBLED_ORDERS != 1) {
      Thread.sleep(WORK_MILLIS);
      out.write(Server.answer(head, id, "200 OK", "placed").getBytes(StandardCharsets.US_ASCII));
      return true;
    }
    recorder.add("server " + id + " sends bytes without end in answer to " + requestId);
    out.write(
        ("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + requestId
                + "\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    try {
      while (true) {
        out.write(ENDLESS_CHUNKS);
      }
    } finally {
      recorder.add("the caller of server " + id + " has closed the connection of " + requestId);
    }
  }

  private void order(Node node, String requestId) {
    orders.incrementAndGet();
    long startNanos = System.nanoTime();
    int status = 0;
    String end = "closed";
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(node.host, node.outbound), 1_000);
      socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(
              ("POST /puka111/" + requestId + " HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: "
                      + requestId + "\r\nDeadline-Ms: 5000\r\nContent-Length: 5\r\n\r\npipes")
                  .getBytes(StandardCharsets.US_ASCII));
      Http.Answer answer = Http.readAnswer(socket.getInputStream());
      status = answer.status();
      end = answer.end();
    } catch (IOException e) {
      end = e.toString();
    }
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    served.addAndGet(status == 200 ? 1 : 0);
    if (millis > TIME_LIMIT_MILLIS) {
      unanswered.incrementAndGet();
      late.addAndGet(millis > TIME_LIMIT_MILLIS + SLACK_MILLIS ? 1 : 0);
      never.addAndGet(millis >= CLIENT_TIMEOUT_MILLIS ? 1 : 0);
    }
    recorder.add(
        "client of " + node.id + " gets " + requestId + ": status " + status + " after " + millis
            + " ms, " + end);
  }
}
