import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** The status reports of one boot of a server to the control address of its machine. */
final class Announcements implements AutoCloseable {
  private static final long INTERVAL_MILLIS = 1_500;

  private final Node node;
  private final String id;
  private final int slots;
  private final Recorder recorder;
  private final long born = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean stopped;

  Announcements(Node node, String id, int slots, Recorder recorder) {
    this.node = node;
    this.id = id;
    this.slots = slots;
    this.recorder = recorder;
  }

  /** Reports the state "ready" at once and then at the interval, until stopped. */
  void start() {
    Store.daemon(
            () -> {
              while (!stopped) {
                try {
                  send(report("ready"));
                } catch (IOException e) {
                  // The node is away: the next report follows at the interval.
                }
                sleep(INTERVAL_MILLIS);
              }
            })
        .start();
  }

  /** Returns the next report, not yet sent. */
  String report(String state) {
    String body =
        String.format(
            "{\"address\":\"%s:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
                + "\"zone\":\"muscat-a\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq\":%d,"
                + "\"warmupLeftMs\":0}}",
            node.host, node.target, born, node.service, slots, state, sequence.incrementAndGet());
    return "PUT /instances/" + id + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json"
        + "\r\nContent-Length: " + body.length() + "\r\nConnection: close\r\n\r\n" + body;
  }

  /** Stops the reports. */
  void stop() {
    stopped = true;
  }

  /** Says that the server leaves; returns the status of the answer. */
  int leave() throws IOException {
    stop();
    return send(
        "DELETE /instances/" + id + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n");
  }

  /** Sends a report; returns the status of the answer. */
  int send(String report) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(node.host, node.control), 1_000);
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write(report.getBytes(StandardCharsets.US_ASCII));
      int status = Http.readAnswer(socket.getInputStream()).status();
      String line = report.substring(0, report.indexOf(" HTTP"));
      int state = report.indexOf("\"status\"");
      recorder.add(
          "server " + id + " sends " + line
              + (state < 0 ? "" : " " + report.substring(state, report.length() - 1))
              + ", answered " + status);
      return status;
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    stop();
  }
}
