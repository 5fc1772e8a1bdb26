import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server says that it leaves and gets the acknowledgement; then the node beside it is killed and
 * started again. A status report that the server sent before arrives seconds late. Checks whether
 * requests reach the server later than allowed.
 */
final class LateReport {
  private static final double DRAIN_SECONDS = 2.0;
  private static final double CONTACT_SECONDS = 3.0;

  /** Kept from the bounds, so that a request in progress at a bound doesn't count. */
  private static final double MARGIN_SECONDS = 0.2;

  /** How late the report arrives. */
  private static final double REPORT_DELAY_SECONDS = 3.2;

  /** The server leaves so long after it sent that report. */
  private static final double LEAVE_AFTER_REPORT_SECONDS = 0.2;

  private static final double KILL_AFTER_LEAVE_SECONDS = 0.5;
  private static final double RESTART_DELAY_SECONDS = 0.5;

  /** How long the server goes on serving after the acknowledgement. */
  private static final double SERVE_AFTER_LEAVE_SECONDS = 12.0;

  private static final long REQUEST_INTERVAL_MILLIS = 40;

  private LateReport() {}

  public static void main(String[] arguments) throws Exception {
    Scene.play(arguments, LateReport::run);
  }

  private static int run(Scene scene) throws Exception {
    scene.store.put(
        "op",
        "config",
        Scene.desiredState("r7", "huvo11a", "hulo84.example", "/leny950/", "idempotent", 1_000));
    Node client = scene.node("sidecar-a-1", "127.0.0.2", "muscat-a", "wuno96b");
    Node leaving = scene.node("sidecar-a-2", "127.0.0.3", "muscat-a", "huvo11a");
    Node staying = scene.node("sidecar-a-3", "127.0.0.4", "muscat-a", "huvo11a");
    scene.startNodes();
    Recorder recorder = scene.recorder;
    CopyOnWriteArrayList<Double> arrivals = new CopyOnWriteArrayList<>();
    Server leavingServer =
        scene.register(
            new Server(leaving, "i-1", 0, (head, in, out, c) -> serve(recorder, "i-1", head, out, arrivals)));
    Announcements leavingReports =
        scene.register(new Announcements(leaving, "i-1", 41, recorder));
    scene.register(
        new Server(
            staying,
            "i-2",
            0,
            (head, in, out, c) -> serve(recorder, "i-2", head, out, new CopyOnWriteArrayList<>())));
    Announcements stayingReports =
        scene.register(new Announcements(staying, "i-2", 41, recorder));
    leavingReports.start();
    stayingReports.start();
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicInteger served = new AtomicInteger();
    Thread load = Store.daemon(() -> sendRequests(client, stopped, served));
    load.start();
    if (!awaitBothServed(arrivals, served)) {
      return Scene.COULD_NOT_RUN;
    }

    String lateReport = leavingReports.report("ready");
    double sent = recorder.now();
    recorder.add("server i-1 sends a report that will arrive late");
    Thread late =
        Store.daemon(
            () -> {
              try {
                sleepUntil(recorder, sent + REPORT_DELAY_SECONDS);
                leavingReports.send(lateReport);
              } catch (IOException | InterruptedException e) {
                recorder.add("the late report was not delivered: " + e);
              }
            });
    late.start();
    sleepUntil(recorder, sent + LEAVE_AFTER_REPORT_SECONDS);
    leavingServer.markLeaving();
    if (leavingReports.leave() != 200) {
      return Scene.COULD_NOT_RUN;
    }
    double left = recorder.now();
    double inTouch = left;
    if (scene.trouble) {
      sleepUntil(recorder, left + KILL_AFTER_LEAVE_SECONDS);
      leaving.kill();
      recorder.add("node " + leaving.id + " was killed");
      sleepUntil(recorder, recorder.now() + RESTART_DELAY_SECONDS);
      leaving.start();
      inTouch = recorder.now() + CONTACT_SECONDS;
      recorder.add("node " + leaving.id + " is started again");
    }
    sleepUntil(recorder, left + SERVE_AFTER_LEAVE_SECONDS);
    leavingServer.close();
    recorder.add("server i-1 has exited");
    stopped.set(true);
    load.join(3_000);
    late.join(100);

    double bound = Math.max(left + DRAIN_SECONDS, inTouch) + MARGIN_SECONDS;
    long tooLate = arrivals.stream().filter(time -> time > bound).count();
    arrivals.stream()
        .filter(time -> time > left)
        .forEach(
            time -> recorder.add(String.format("a request reached server i-1 at %.3f", time)));
    recorder.add(
        String.format(
            "acknowledged at %.3f; %d requests reached server i-1 after %.3f; %d requests served",
            left, tooLate, bound, served.get()));
    return tooLate > 0 ? Scene.BROKEN : Scene.HELD;
  }

  private static boolean serve(
      Recorder recorder,
      String id,
      Http.Head head,
      OutputStream out,
      CopyOnWriteArrayList<Double> arrivals)
      throws IOException, InterruptedException {
    arrivals.add(recorder.now());
    Thread.sleep(20);
    out.write(Server.answer(head, id, "200 OK", "plan").getBytes(StandardCharsets.US_ASCII));
    return true;
  }

  private static boolean awaitBothServed(
      CopyOnWriteArrayList<Double> arrivals, AtomicInteger served) throws InterruptedException {
    for (int i = 0; i < 400; i++) {
      if (arrivals.size() > 50 && served.get() > 100) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  private static void sendRequests(Node client, AtomicBoolean stopped, AtomicInteger served) {
    for (int i = 0; !stopped.get(); i++) {
      int number = i;
      Store.daemon(() -> sendRequest(client, number, served)).start();
      try {
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void sendRequest(Node client, int number, AtomicInteger served) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(client.host, client.outbound), 1_000);
      socket.setSoTimeout(5_000);
      InputStream in = socket.getInputStream();
      socket
          .getOutputStream()
          .write(
              ("GET /leny950/" + number + " HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: q"
                      + number + "\r\nDeadline-Ms: 5000\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      if (Http.readAnswer(in).status() == 200) {
        served.incrementAndGet();
      }
    } catch (IOException e) {
      // A failed request has no effect on the check.
    }
  }

  private static void sleepUntil(Recorder recorder, double time) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) (1_000 * (time - recorder.now()))));
  }
}
