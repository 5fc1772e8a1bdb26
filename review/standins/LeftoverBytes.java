import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server sends additional bytes after complete answers: a second copy that breaks off within its
 * head. Checks whether a client gets a success where the server had answered with a failure.
 */
final class LeftoverBytes {
  private static final int REQUESTS = 600;
  private static final long SEED = Long.getLong("seed", 26);

  private LeftoverBytes() {}

  public static void main(String[] arguments) throws Exception {
    Scene.play(arguments, LeftoverBytes::run);
  }

  private static int run(Scene scene) throws Exception {
    scene.store.put(
        "op",
        "config",
        Scene.desiredState("r7", "huvo11a", "hulo84.example", "/leny950/", "idempotent", 2_000));
    Node client = scene.node("sidecar-a-1", "127.0.0.2", "muscat-a", "wuno96b");
    Node planner = scene.node("sidecar-a-2", "127.0.0.3", "muscat-a", "huvo11a");
    scene.startNodes();
    Recorder recorder = scene.recorder;
    Map<String, Integer> given = new ConcurrentHashMap<>();
    Random random = new Random(SEED);
    scene.register(
        new Server(
            planner,
            "i-1",
            0,
            (head, in, out, connection) -> serve(scene, head, out, given, random)));
    Announcements reports = scene.register(new Announcements(planner, "i-1", 41, recorder));
    reports.start();
    int broken = 0;
    int asGiven = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String requestId = "q" + i;
      Http.Answer answer = send(client, requestId);
      while (answer.status() == 503 && recorder.now() < 20) {
        Thread.sleep(200); // the nodes have not met yet
        answer = send(client, requestId);
      }
      boolean sealed = answer.head() != null && !answer.head().header("server-seal").isEmpty();
      int status = given.getOrDefault(requestId, 0);
      recorder.add(
          String.format(
              "client gets %s: status %d, sealed %s, body \"%s\", %s; the server gave %d",
              requestId,
              answer.status(),
              sealed,
              sealed ? new String(answer.body(), StandardCharsets.US_ASCII) : "-",
              answer.end(),
              status));
      if (sealed && answer.isComplete() && answer.status() != status) {
        broken++;
        recorder.add("MIXED: " + requestId + " has a seal and another status than the server gave");
      } else if (sealed) {
        asGiven++;
      }
    }
    recorder.add(
        broken + " of " + REQUESTS + " requests got another status than the server gave, " + asGiven
            + " got the server's answer");
    if (asGiven == 0) {
      return Scene.COULD_NOT_RUN;
    }
    return broken > 0 ? Scene.BROKEN : Scene.HELD;
  }

  /** Answers every second request with 500; a success is followed by the start of a copy. */
  private static boolean serve(
      Scene scene, Http.Head head, OutputStream out, Map<String, Integer> given, Random random)
      throws IOException {
    String requestId = head.header("request-id");
    boolean fails = Integer.parseInt(requestId.substring(1)) % 2 == 1;
    String body = fails ? "failed" : "plan of " + requestId;
    String answerHead =
        "HTTP/1.1 " + (fails ? "500 Internal Server Error" : "200 OK")
            + "\r\nContent-Type: text/plain; charset=utf-8\r\nRequest-Id: " + requestId
            + "\r\nServer-Seal: seal.i-1." + requestId + "\r\nContent-Length: " + body.length()
            + "\r\n\r\n";
    given.put(requestId, fails ? 500 : 200);
    int copied = fails || !scene.trouble ? 0 : 1 + random.nextInt(answerHead.length() - 1);
    scene.recorder.add(
        "server runs " + requestId + ", answers " + given.get(requestId)
            + (copied == 0 ? "" : ", and sends " + copied + " additional bytes"));
    out.write(
        (answerHead + body + answerHead.substring(0, copied)).getBytes(StandardCharsets.US_ASCII));
    out.flush();
    return true;
  }

  private static Http.Answer send(Node client, String requestId) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(client.host, client.outbound), 1_000);
      socket.setSoTimeout(5_000);
      socket
          .getOutputStream()
          .write(
              ("GET /leny950/" + requestId + " HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: "
                      + requestId + "\r\nDeadline-Ms: 5000\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return Http.readAnswer(socket.getInputStream());
    }
  }
}
