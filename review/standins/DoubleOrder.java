import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers shed some orders, and one of them sends additional bytes after some of these answers: a
 * second copy that breaks off within its head. Checks whether an order runs twice, or runs though its client was
 * told that it has not.
 */
final class DoubleOrder {
  private static final int ORDERS = 3_000;
  private static final double SHED_SHARE = 0.1;

  /** Of the refusals of one server; three in a hundred of all its answers. */
  private static final double GARBLED_SHARE = 0.3;

  private static final String GARBLING_SERVER = "i-1";
  private static final long SEED = Long.getLong("seed", 26);

  private final Scene scene;
  private final Recorder recorder;
  private final Random random = new Random(SEED);
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Set<String> warmUp = ConcurrentHashMap.newKeySet();

  private DoubleOrder(Scene scene) {
    this.scene = scene;
    recorder = scene.recorder;
  }

  public static void main(String[] arguments) throws Exception {
    Scene.play(arguments, scene -> new DoubleOrder(scene).run());
  }

  private int run() throws Exception {
    scene.store.put(
        "op",
        "config",
        Scene.desiredState("r7", "wuno96b", "jepu9.example", "/puka111/", "non_idempotent", 2_000)
            .replace("\"priority\":1", "\"priority\":0"));
    Node client = scene.node("sidecar-a-1", "127.0.0.2", "muscat-a", "huvo11a");
    Node[] places = {
      scene.node("sidecar-a-2", "127.0.0.3", "muscat-a", "wuno96b"),
      scene.node("sidecar-a-3", "127.0.0.4", "muscat-a", "wuno96b")
    };
    scene.startNodes();
    for (int i = 0; i < places.length; i++) {
      String id = "i-" + (i + 1);
      scene.register(
          new Server(places[i], id, 0, (head, in, out, c) -> serve(id, head, in, out)));
      scene.register(new Announcements(places[i], id, 51, recorder)).start();
    }
    awaitServers(client);
    int twice = 0;
    int refused = 0;
    int served = 0;
    for (int i = 0; i < ORDERS; i++) {
      String requestId = "order" + i;
      int status = order(client, requestId);
      int count = runs.getOrDefault(requestId, new AtomicInteger()).get();
      recorder.add("client gets " + requestId + ": status " + status + "; it ran " + count + "x");
      served += status == 200 ? 1 : 0;
      if (count > 1) {
        twice++;
        recorder.add("TWICE: " + requestId + " ran " + count + " times");
      }
      if (count > 0 && (status == 503 || status == 429)) {
        refused++;
        recorder.add("REFUSED: " + requestId + " has run, the client was told that it has not");
      }
    }
    recorder.add(
        String.format(
            "%d of %d orders ran twice; %d more were refused though they had run; %d were served",
            twice, ORDERS, refused, served));
    if (served == 0) {
      return Scene.COULD_NOT_RUN;
    }
    return twice > 0 ? Scene.BROKEN : Scene.HELD;
  }

  /** Sends orders that are not counted until both servers have been reached. */
  private void awaitServers(Node client) throws InterruptedException {
    for (int i = 0; warmUp.size() < 2 && i < 200; i++) {
      try {
        order(client, "first" + i);
      } catch (IOException e) {
        // The node is not reachable yet.
      }
      Thread.sleep(100);
    }
  }

  private boolean serve(String id, Http.Head head, InputStream in, OutputStream out)
      throws IOException {
    Http.readRequestBody(in, head);
    String requestId = head.header("request-id");
    if (requestId.startsWith("first")) {
      warmUp.add(id);
      out.write(Server.answer(head, id, "200 OK", "placed").getBytes(StandardCharsets.US_ASCII));
      return true;
    }
    boolean sheds;
    int cut;
    String refusal =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Type: text/plain;"
            + " charset=utf-8\r\nRequest-Id: " + requestId + "\r\nContent-Length: 0\r\n\r\n";
    synchronized (this) {
      sheds = random.nextDouble() < SHED_SHARE;
      boolean garbles =
          scene.trouble && id.equals(GARBLING_SERVER) && random.nextDouble() < GARBLED_SHARE;
      cut = garbles ? 1 + random.nextInt(refusal.length() - 1) : 0;
    }
    if (sheds) {
      recorder.add(
          "server " + id + " sheds " + requestId
              + (cut == 0 ? "" : ", and sends " + cut + " additional bytes"));
      out.write((refusal + refusal.substring(0, cut)).getBytes(StandardCharsets.US_ASCII));
    } else {
      runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
      recorder.add("server " + id + " runs " + requestId);
      out.write(Server.answer(head, id, "200 OK", "placed").getBytes(StandardCharsets.US_ASCII));
    }
    out.flush();
    return true;
  }

  private static int order(Node client, String requestId) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(client.host, client.outbound), 1_000);
      socket.setSoTimeout(6_000);
      socket
          .getOutputStream()
          .write(
              ("POST /puka111/" + requestId + " HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: "
                      + requestId + "\r\nDeadline-Ms: 5000\r\nContent-Length: 5\r\n\r\npipes")
                  .getBytes(StandardCharsets.US_ASCII));
      return Http.readAnswer(socket.getInputStream()).status();
    }
  }
}
