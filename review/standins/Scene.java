import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What every case has: a record, a store, nodes, and their end. */
final class Scene implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  final Recorder recorder;
  final Store store;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path work;
  private final List<Node> nodes = new ArrayList<>();
  private final List<AutoCloseable> others = new ArrayList<>();

  private Scene(Path record) throws IOException {
    recorder = new Recorder(record);
    store = new Store("127.0.0.1");
    work = Files.createTempDirectory("review");
  }

  /** The steps of a case; returns the exit status. */
  interface Steps {
    int run(Scene scene) throws Exception;
  }

  /** Runs a case and ends the process with its status; all node processes end before. */
  static void play(String[] arguments, Steps steps) throws Exception {
    int status = COULD_NOT_RUN;
    Scene scene = new Scene(Path.of(arguments[0]));
    Runtime.getRuntime().addShutdownHook(new Thread(scene::closeNodes));
    try {
      scene.recorder.add("trouble " + (scene.trouble ? "on" : "off"));
      status = steps.run(scene);
    } catch (Exception e) {
      scene.recorder.add("could not run: " + e);
    } finally {
      scene.recorder.add(
          switch (status) {
            case HELD -> "result: the rule held";
            case BROKEN -> "result: the rule was broken";
            default -> "result: the case could not run";
          });
      scene.close();
    }
    System.exit(status);
  }

  /** Adds a node that is not started yet. */
  Node node(String id, String host, String zone, String service) throws IOException {
    Node node = new Node(work, id, host, zone, service, store);
    nodes.add(node);
    return node;
  }

  /** Closes something at the end of the case. */
  <T extends AutoCloseable> T register(T other) {
    others.add(other);
    return other;
  }

  /** Starts all nodes and waits until they are ready. */
  void startNodes() throws Exception {
    for (Node node : nodes) {
      node.start();
    }
    for (Node node : nodes) {
      if (!node.awaitReady(40_000)) {
        throw new IOException("node " + node.id + " did not become ready");
      }
    }
    recorder.add(nodes.size() + " nodes are ready");
  }

  private void closeNodes() {
    nodes.forEach(Node::close);
  }

  @Override
  public void close() throws Exception {
    closeNodes();
    for (AutoCloseable other : others) {
      other.close();
    }
    store.close();
    recorder.close();
    String keep = System.getenv("KEEP_LOGS");
    if (keep == null) {
      try (Stream<Path> files = Files.walk(work)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    } else {
      System.err.println("logs: " + work);
    }
  }

  /** Returns a desired state with one route to one service. */
  static String desiredState(
      String version, String service, String host, String prefix, String kind, int timeoutMs) {
    return String.format(
        "{\"version\":\"%s\",\"services\":[{\"name\":\"%s\",\"healthPath\":\"/healthz\","
            + "\"maxConnections\":406,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"wuno96b\","
            + "\"healthPath\":\"/healthz\",\"maxConnections\":406,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"virtualHosts\":[{\"host\":"
            + "\"%s\",\"paths\":[{\"name\":\"r-1\",\"prefix\":\"%s\",\"routeType\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":1500,\"priority\":1,\"service\":\"%s\","
            + "\"maxAttempts\":2}]}]}",
        version, service, host, prefix, kind, timeoutMs, service);
  }
}
