import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One upload crashes each server that begins to run it, and comes again with the same path, caller
 * and body. Other uploads go to the same path. All bodies are sent in chunks. Checks how often the
 * request still reaches servers after it has crashed the third.
 */
final class CrashingUpload {
  private static final double CONTACT_SECONDS = 3.0;
  private static final int CRASHES_BEFORE_BOUND = 3;
  private static final int ALLOWED_RETRIES = 3;
  private static final int SERVERS = 3;
  private static final double PLAY_SECONDS = 45;

  /** The pause before the request comes again. */
  private static final long REPEAT_MILLIS = 4_000;

  /** How long a server is away after a crash. */
  private static final long RESTART_MILLIS = 2_000;

  private static final long UPLOAD_INTERVAL_MILLIS = 100;
  private static final int UPLOAD_BYTES = 60_000;
  private static final int CHUNK_BYTES = 6_000;
  private static final byte FATAL_BYTE = 'x';

  private final Scene scene;
  private final Recorder recorder;
  private final List<Double> fatalArrivals = new ArrayList<>();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger ids = new AtomicInteger();

  private CrashingUpload(Scene scene) {
    this.scene = scene;
    recorder = scene.recorder;
  }

  public static void main(String[] arguments) throws Exception {
    Scene.play(arguments, scene -> new CrashingUpload(scene).run());
  }

  private int run() throws Exception {
    scene.store.put(
        "op",
        "config",
        Scene.desiredState("r7", "lovo22d", "hulo84.example", "/cufi502/", "upload", 2_500));
    Node client = scene.node("sidecar-a-1", "127.0.0.2", "muscat-a", "wuno96b");
    List<Place> places = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Node node =
          scene.node("sidecar-a-" + (2 + i), "127.0.0." + (3 + i), "muscat-a", "lovo22d");
      places.add(scene.register(new Place(node)));
    }
    scene.startNodes();
    for (Place place : places) {
      place.boot();
    }
    Thread load = Store.daemon(() -> uploadAll(client));
    load.start();
    Thread.sleep(8_000); // lets the nodes meet
    if (served.get() < 20) {
      return Scene.COULD_NOT_RUN;
    }
    double end = recorder.now() + PLAY_SECONDS;
    for (int i = 0; recorder.now() < end && scene.trouble; i++) {
      int status = upload(client, "fatal" + i, FATAL_BYTE);
      recorder.add("client gets fatal" + i + ": status " + status);
      Thread.sleep(REPEAT_MILLIS);
    }
    if (!scene.trouble) {
      Thread.sleep(10_000);
    }
    stopped.set(true);
    load.join(3_000);
    return result();
  }

  private synchronized int result() {
    int late = 0;
    if (fatalArrivals.size() > CRASHES_BEFORE_BOUND) {
      double bound = fatalArrivals.get(CRASHES_BEFORE_BOUND - 1) + CONTACT_SECONDS;
      late = (int) fatalArrivals.stream().filter(time -> time > bound).count();
    }
    recorder.add(
        String.format(
            "the fatal upload reached servers %d times, %d of them later than %.0f s after the"
                + " third crash; %d other uploads were served",
            fatalArrivals.size(), late, CONTACT_SECONDS, served.get()));
    return late > ALLOWED_RETRIES ? Scene.BROKEN : Scene.HELD;
  }

  /** A machine with a node and a server that starts again after each crash. */
  private final class Place implements AutoCloseable {
    private final Node node;
    private Server server;
    private Announcements reports;

    Place(Node node) {
      this.node = node;
    }

    synchronized void boot() throws IOException, InterruptedException {
      String id = "i-" + ids.incrementAndGet();
      server = new Server(node, id, 0, (head, in, out, c) -> serve(id, head, in, out));
      reports = new Announcements(node, id, 51, recorder);
      reports.start();
    }

    private boolean serve(String id, Http.Head head, InputStream in, OutputStream out)
        throws IOException, InterruptedException {
      byte[] body = Http.readRequestBody(in, head);
      String requestId = head.header("request-id");
      if (body.length > 0 && body[0] == FATAL_BYTE) {
        recordArrival(id, requestId);
        crash();
        return false;
      }
      Thread.sleep(100);
      out.write(Server.answer(head, id, "200 OK", "stored").getBytes(StandardCharsets.US_ASCII));
      return true;
    }

    private synchronized void crash() throws IOException {
      reports.stop();
      server.crash();
      Store.daemon(
              () -> {
                try {
                  Thread.sleep(RESTART_MILLIS);
                  boot();
                } catch (IOException | InterruptedException e) {
                  recorder.add("a server did not start again: " + e);
                }
              })
          .start();
    }

    @Override
    public synchronized void close() throws IOException {
      reports.close();
      server.close();
    }
  }

  private synchronized void recordArrival(String id, String requestId) {
    fatalArrivals.add(recorder.now());
    recorder.add("server " + id + " begins to run " + requestId + " and crashes");
  }

  private void uploadAll(Node client) {
    for (int i = 0; !stopped.get(); i++) {
      int number = i;
      Store.daemon(
              () -> {
                if (upload(client, "upload" + number, (byte) ('a' + number % 20)) == 200) {
                  served.incrementAndGet();
                }
              })
          .start();
      try {
        Thread.sleep(UPLOAD_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one upload in chunks; returns the status, or 0 if there was no complete answer. */
  private static int upload(Node client, String requestId, byte content) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(client.host, client.outbound), 1_000);
      socket.setSoTimeout(5_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          ("POST /cufi502/scans HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: " + requestId
                  + "\r\nDeadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      byte[] chunk = new byte[CHUNK_BYTES];
      Arrays.fill(chunk, content);
      for (int sent = 0; sent < UPLOAD_BYTES; sent += CHUNK_BYTES) {
        out.write((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(chunk);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      Http.Answer answer = Http.readAnswer(socket.getInputStream());
      return answer.isComplete() ? answer.status() : 0;
    } catch (IOException e) {
      return 0;
    }
  }
}
