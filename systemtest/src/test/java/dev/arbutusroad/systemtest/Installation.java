package dev.arbutusroad.systemtest;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.tools.platform.PlatformStandIn;
import dev.arbutusroad.tools.target.TargetBehaviour;
import dev.arbutusroad.tools.target.TargetOptions;
import dev.arbutusroad.tools.target.TargetStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Runs nodes as separate processes, and the platform and the targets in the test's process. */
final class Installation implements AutoCloseable {
  private static final Path EXECUTABLE = Path.of("..", "target", "arbutusroad");
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final String CONFIGURATION =
      """
      {
        "rules": [
          { "name": "orders", "select": "service = orders", "importance": 95,
            "unrepeatable": true, "deadlineMs": 20000 }
        ]
      }
      """;

  private final Closer closer = new Closer();
  private final Path workDirectory;
  private final PlatformStandIn platform;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<Node> nodes = new ArrayList<>();
  private InetSocketAddress firstPeer;

  /** A node process with its listeners. */
  record Node(Process process, InetSocketAddress caller, InetSocketAddress exit, String admin) {
    /** Requests a graceful shutdown of the process. */
    void terminate() {
      process.destroy();
    }

    /** Kills the process. */
    void kill() {
      process.destroyForcibly();
    }

    /** Sends a signal by the name that the kill command uses. */
    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  Installation(Path workDirectory) throws IOException {
    this.workDirectory = workDirectory;
    platform = closer.register(PlatformStandIn.start(Addresses.of("127.0.0.1", 0)));
  }

  /** Starts nodes, applies the configuration and waits until the nodes are healthy. */
  List<Node> start(int count) throws Exception {
    InetSocketAddress seed = Addresses.of("127.0.0.1", freePort());
    firstPeer = seed;
    for (int i = 0; i < count; i++) {
      nodes.add(node("node-" + i, i == 0 ? seed : Addresses.of("127.0.0.1", freePort()), seed));
    }
    apply(CONFIGURATION, 0);
    for (Node node : nodes) {
      awaitHealth(node);
    }
    return List.copyOf(nodes);
  }

  /** Starts an additional node and waits until it is healthy. */
  Node startNode() throws Exception {
    Node node = node("node-" + nodes.size(), Addresses.of("127.0.0.1", freePort()), firstPeer);
    nodes.add(node);
    awaitHealth(node);
    return node;
  }

  /**
   * Applies a configuration with the operators' command.
   *
   * @param baseVersion the version that it replaces
   */
  void apply(String document, long baseVersion) throws IOException, InterruptedException {
    Path configuration = Files.writeString(workDirectory.resolve("configuration.json"), document);
    Process apply =
        process(
            "apply",
            List.of(
                "config",
                "apply",
                "--platform",
                Addresses.format(platform.address()),
                "--author",
                "test",
                "--base",
                Long.toString(baseVersion),
                configuration.toString()));
    if (apply.waitFor() != 0) {
      throw new IOException(Files.readString(workDirectory.resolve("apply.log")));
    }
  }

  /** Returns the stand-in platform. */
  PlatformStandIn platform() {
    return platform;
  }

  /** Returns the state dump of a node. */
  String dump(Node node) throws IOException, InterruptedException {
    return client
        .send(
            HttpRequest.newBuilder(URI.create("http://" + node.admin() + "/dump")).build(),
            HttpResponse.BodyHandlers.ofString())
        .body();
  }

  private void awaitHealth(Node node) throws Exception {
    await("health of " + node.admin(), () -> status("http://" + node.admin() + "/healthz") == 200);
  }

  /** Starts a target of the service {@code orders} beside a node. */
  TargetStandIn target(Node node, int serviceMillis) throws IOException {
    TargetBehaviour behaviour =
        TargetBehaviour.defaults().with("{\"serviceMillis\": " + serviceMillis + "}");
    return closer.register(
        TargetStandIn.start(
            TargetOptions.of("orders").withBehaviour(behaviour).withExit(node.exit(), List.of())));
  }

  /** Returns a request that sends an order to a node. */
  static HttpRequest order(Node entry, String key, long deadlineMillis) {
    return HttpRequest.newBuilder(
            URI.create("http://" + Addresses.format(entry.caller()) + "/orders"))
        .header("arbutus-service", "orders")
        .header("arbutus-order-key", key)
        .header("arbutus-deadline-ms", Long.toString(deadlineMillis))
        .POST(HttpRequest.BodyPublishers.noBody())
        .build();
  }

  HttpClient client() {
    return client;
  }

  /** Waits until a condition holds. */
  static void await(String description, Callable<Boolean> condition) throws Exception {
    long startNanos = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - startNanos > TIMEOUT_NANOS) {
        throw new AssertionError(description + ": not within 60 s");
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
    }
  }

  @Override
  public void close() throws IOException {
    nodes.forEach(Node::kill);
    closer.close();
  }

  private Node node(String id, InetSocketAddress peer, InetSocketAddress seed) throws IOException {
    InetSocketAddress caller = Addresses.of("127.0.0.1", freePort());
    InetSocketAddress exit = Addresses.of("127.0.0.1", freePort());
    String admin = "127.0.0.1:" + freePort();
    Path settings =
        Files.writeString(
            workDirectory.resolve(id + ".json"),
            """
            {
              "id": "%s", "host": "127.0.0.1", "region": "muscat", "failureDomain": "muscat-a",
              "listeners": { "caller": "%s", "exit": "%s", "peer": "%s", "admin": "%s" },
              "platform": "%s", "seeds": ["%s"], "drainLimitMillis": 8000,
              "sharedSecret": "process-test-only-secret-0123456789abcdef"
            }
            """
                .formatted(
                    id,
                    Addresses.format(caller),
                    Addresses.format(exit),
                    Addresses.format(peer),
                    admin,
                    Addresses.format(platform.address()),
                    Addresses.format(seed)));
    return new Node(
        process(id, List.of("node", "--settings", settings.toString())), caller, exit, admin);
  }

  private Process process(String name, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of(EXECUTABLE.toString()));
    command.addAll(arguments);
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(workDirectory.resolve(name + ".log").toFile())
        .start();
  }

  private int status(String uri) throws InterruptedException {
    try {
      return client
          .send(
              HttpRequest.newBuilder(URI.create(uri)).build(),
              HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (IOException e) {
      return 0; // not listening yet
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
