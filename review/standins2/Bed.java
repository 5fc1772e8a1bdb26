import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment on loopback: store, nodes, backends, and what they have seen. */
final class Bed implements AutoCloseable {
  /** A run of a request at a backend. */
  static final class Run {
    final String requestId;
    final Backend backend;
    final String instance;
    final String service;
    final String method;
    final String target;
    final String caller;
    final int bodyHash;
    final long startMillis = System.currentTimeMillis();
    final long leftAckMillis;
    volatile String end = "running";

    /** How long the backend works on it if nobody stops it. */
    volatile long workMillis;

    volatile long endMillis;

    Run(Backend backend, Wire.Head head, byte[] body) {
      requestId = head.field("request-id");
      this.backend = backend;
      instance = backend.id;
      service = backend.service;
      method = head.method();
      target = head.target();
      caller = head.field("caller-service");
      bodyHash = Arrays.hashCode(body);
      leftAckMillis = backend.leftAckMillis;
    }
  }

  private static ServerSocket block;
  private static int nextPort;

  final Path root;
  final Path folder;
  final Store store;
  volatile int storePort;

  /** The descriptors that a node may have; 0 for the limit of this process. */
  volatile int maxDescriptors;

  final List<Node> nodes = new CopyOnWriteArrayList<>();
  final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
  final Map<String, Client.Call> calls = new ConcurrentHashMap<>();
  private final BufferedWriter record;
  private boolean closed;
  final long startMillis = System.currentTimeMillis();

  Bed(Path record) throws IOException {
    root = Path.of("").toAbsolutePath();
    folder = Files.createTempDirectory("bed");
    store = new Store();
    storePort = store.port;
    this.record = Files.newBufferedWriter(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Ends the program with a status; 2 if the limit of a script passes before. */
  static void limit(long millis) {
    thread(
        () -> {
          sleep(millis);
          System.out.println("the case did not end in time");
          System.exit(2);
        });
  }

  /** Returns whether the disruption is wanted. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Prints and records the result, ends the processes and the program. */
  void finish(boolean broken, String summary) {
    recordCalls();
    note(summary);
    System.out.println((broken ? "broken: " : "held: ") + summary);
    close();
    System.exit(broken ? 1 : 0);
  }

  static Thread thread(Runnable task) {
    Thread thread = new Thread(null, task, "bed", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns free ports. They are taken from a block that this program holds by its first port, below
   * the range from which outgoing connections get theirs.
   */
  static synchronized int[] freePorts(int count) throws IOException {
    while (block == null) {
      int first = java.util.concurrent.ThreadLocalRandom.current().nextInt(120, 320) * 100;
      try {
        block = new ServerSocket(first, 1, InetAddress.getByName("127.0.0.1"));
        nextPort = first + 1;
      } catch (IOException e) {
        // Another program holds this block.
      }
    }
    int[] ports = new int[count];
    for (int i = 0; i < count; nextPort++) {
      try (ServerSocket socket = new ServerSocket(nextPort, 1, InetAddress.getByName("127.0.0.1"))) {
        ports[i++] = socket.getLocalPort();
      } catch (IOException e) {
        // Another program uses this port.
      }
    }
    return ports;
  }

  static byte[] answerBody(String requestId) {
    byte[] body = new byte[400 + Math.floorMod(requestId.hashCode(), 3_000)];
    new Random(requestId.hashCode()).nextBytes(body);
    return body;
  }

  synchronized void note(String line) {
    try {
      record.write("%8.3f s  %s%n".formatted((System.currentTimeMillis() - startMillis) / 1000.0, line));
      record.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes all calls and their runs to the record, in the order in which they were sent. */
  void recordCalls() {
    calls.values().stream()
        .sorted(Comparator.comparingLong(call -> call.sentMillis))
        .forEach(
            call -> {
              StringBuilder line = new StringBuilder();
              line.append("sent at ").append(at(call.sentMillis)).append(": ").append(call);
              for (Run run : runsOf(call.id)) {
                line.append("; run by ").append(run.instance).append(" at ").append(at(run.startMillis));
                line.append(" ").append(run.method).append(" ").append(run.target);
                line.append(" ended ").append(run.end);
              }
              note(line.toString());
            });
  }

  String at(long millis) {
    return "%.3f s".formatted((millis - startMillis) / 1000.0);
  }

  Run started(Backend backend, Wire.Head head, byte[] body) {
    Run run = new Run(backend, head, body);
    runs.computeIfAbsent(run.requestId, id -> new CopyOnWriteArrayList<>()).add(run);
    return run;
  }

  List<Run> runsOf(String requestId) {
    return runs.getOrDefault(requestId, List.of());
  }

  /** Writes the desired state; each route is host, prefix, type, timeout and service. */
  void configure(int version, List<String> services, String[]... routes) {
    StringBuilder paths = new StringBuilder();
    for (String[] route : routes) {
      paths.append(paths.length() == 0 ? "" : ",");
      paths.append(
          ("{\"name\":\"r-%s\",\"prefix\":\"%s\",\"routeType\":\"%s\",\"timeoutMs\":%s,"
                  + "\"targetLatencyMs\":1500,\"priority\":1,\"service\":\"%s\",\"maxAttempts\":2}")
              .formatted(route[0].replace("/", ""), route[0], route[1], route[2], route[3]));
    }
    String names =
        String.join(
            ",",
            services.stream()
                .map(
                    name ->
                        "{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConnections\":346,\"protocol\":\"h1\",\"tls\":false}"
                            .formatted(name))
                .toList());
    store.put(
        "op",
        "config",
        ("{\"version\":\"r%d\",\"services\":[%s],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"virtualHosts\":[{\"host\":\"shop.example\",\"paths\":[%s]}]}")
            .formatted(version, names, paths));
    note("desired state r" + version + " acknowledged by the store");
  }

  Node addNode(String name, String zone, String service, int slots) throws IOException {
    Node node = new Node(this, name, zone, service, slots);
    nodes.add(node);
    return node;
  }

  /** Starts all nodes and backends, and waits until calls to each service are served. */
  boolean startAll(String... prefixes) throws IOException {
    for (Node node : nodes) {
      node.start();
    }
    for (Node node : nodes) {
      node.backend.start(true);
    }
    long end = System.currentTimeMillis() + 35_000;
    for (Node node : nodes) {
      for (String prefix : prefixes) {
        boolean served = false;
        while (!served && System.currentTimeMillis() < end) {
          Client.Call call = new Client(this, node).call("GET", prefix + "warm", new byte[0], 3_000, true);
          served = call.status == 200;
          if (!served) {
            sleep(200);
          }
        }
        if (!served) {
          note("no service of " + prefix + " through " + node.name);
          noteLogs();
          return false;
        }
      }
    }
    // Each node sees each backend.
    sleep(1_500);
    return true;
  }

  private void noteLogs() throws IOException {
    for (Node node : nodes) {
      List<String> lines = Files.readAllLines(folder.resolve(node.name + ".log"));
      for (String line : lines.subList(0, Math.min(40, lines.size()))) {
        note(node.name + ": " + line);
      }
    }
  }

  private void endProcesses() {
    for (Node node : nodes) {
      Process process = node.process;
      if (process != null && process.isAlive()) {
        process.destroyForcibly();
      }
    }
  }

  /** Ends the processes and deletes their folder; also at the end of the program. */
  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    endProcesses();
    try (var files = Files.walk(folder)) {
      if (System.getenv("KEEP_LOGS") != null) {
        System.out.println("logs in " + folder);
      } else {
        for (Path path : new ArrayList<>(files.sorted(Comparator.reverseOrder()).toList())) {
          Files.delete(path);
        }
      }
      record.close();
    } catch (IOException e) {
      System.out.println("the folder stays: " + e);
    }
  }
}
